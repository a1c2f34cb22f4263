package org.jacinthlink.decision.layout

import kotlin.math.floor
import org.jacinthlink.decision.fleet.LayerRange

/**
 * Splits [range] among servers in their order, so that the tightest share has as much room for
 * requests in each layer as possible.
 *
 * Layers are handed out one by one to the server with the most memory for each layer that it would
 * then hold (the method of highest averages). No share exceeds the memory of its server. Returns
 * null if all memory together does not hold the range. A server may get no layer, which is a null
 * in the list.
 */
internal fun splitByMemory(
    range: LayerRange,
    memoryMb: List<Double>,
    layerMb: Double
): List<LayerRange?>? {
    val most = memoryMb.map { floor(it / layerMb).toInt() }
    if (most.sum() < range.size) return null
    val counts = IntArray(memoryMb.size)
    repeat(range.size) {
        val next = counts.indices.filter { counts[it] < most[it] }
            .maxBy { memoryMb[it] / (counts[it] + 1) }
        counts[next]++
    }
    var at = range.from
    return counts.map { count ->
        val part = LayerRange(at, at + count)
        at += count
        part.takeIf { count > 0 }
    }
}
