package org.jacinthlink.decision.layout

import org.jacinthlink.decision.fleet.LayerRange

/**
 * Splits [range] among sets of replicas in their order, so that the tightest share has as much room
 * for requests in each layer as possible.
 *
 * Layers are handed out one by one to the set with the most room for requests in each layer that it
 * would then hold (the method of highest averages). No share exceeds the memory of a server.
 * Returns null if all memory together does not hold the range. A set may get no layer, which is a
 * null in the list.
 */
internal fun splitByMemory(
    range: LayerRange,
    sets: List<ReplicaSet>,
    layerMb: Double
): List<LayerRange?>? {
    val most = sets.map { it.mostLayers(layerMb) }
    if (most.sum() < range.size) return null
    val counts = IntArray(sets.size)
    repeat(range.size) {
        val next = counts.indices.filter { counts[it] < most[it] }
            .maxBy { sets[it].roomMbPerLayer(counts[it] + 1, layerMb) }
        counts[next]++
    }
    var at = range.from
    return counts.map { count ->
        val part = LayerRange(at, at + count)
        at += count
        part.takeIf { count > 0 }
    }
}
