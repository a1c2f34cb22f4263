package org.jacinthlink.decision.layout

import org.jacinthlink.decision.fleet.LayerRange

/**
 * Splits [range] among replica sets in their order. The split maximizes the smallest memory for
 * requests per layer of any share.
 *
 * The layers are assigned one by one to the set that has the most memory for requests per layer
 * after the assignment (the method of highest averages). No share exceeds the memory of a server.
 * The entry of a set without layers is null. Returns null if the servers together have too little
 * memory for the range.
 */
internal fun splitByMemory(
    range: LayerRange,
    sets: List<ReplicaSet>,
    layerMb: Double
): List<LayerRange?>? {
    val maxCounts = sets.map { it.maxLayers(layerMb) }
    if (maxCounts.sum() < range.size) return null
    val counts = IntArray(sets.size)
    repeat(range.size) {
        val next = counts.indices.filter { counts[it] < maxCounts[it] }
            .maxBy { sets[it].requestMbPerLayer(counts[it] + 1, layerMb) }
        counts[next]++
    }
    var nextLayer = range.from
    return counts.map { count ->
        val part = LayerRange(nextLayer, nextLayer + count)
        nextLayer += count
        part.takeIf { count > 0 }
    }
}
