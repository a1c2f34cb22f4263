package org.jacinthlink.decision.layout

import kotlin.math.floor
import org.jacinthlink.decision.fleet.LayerRange

/**
 * Splits [range] among servers in their order, in proportion to their memory.
 *
 * No share exceeds what the memory of its server holds. Returns null if all memory together does
 * not hold the range. A server may get no layer, which is a null in the list.
 */
internal fun splitByMemory(
    range: LayerRange,
    memoryMb: List<Double>,
    layerMb: Double
): List<LayerRange?>? {
    val most = memoryMb.map { floor(it / layerMb).toInt() }
    if (most.sum() < range.size) return null
    val totalMb = memoryMb.sum()
    val exact = memoryMb.map { range.size * it / totalMb }
    val counts = exact.mapIndexed { i, share -> minOf(floor(share).toInt(), most[i]) }
        .toMutableList()
    while (counts.sum() < range.size) {
        val next = counts.indices.filter { counts[it] < most[it] }
            .maxBy { exact[it] - counts[it] }
        counts[next]++
    }
    var at = range.from
    return counts.map { count ->
        val part = LayerRange(at, at + count)
        at += count
        part.takeIf { count > 0 }
    }
}
