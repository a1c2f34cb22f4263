package org.jacinthlink.cli.measure

import org.HdrHistogram.Histogram

/** Times [call] after a warm-up of the same length. The state is made by [prepare]. */
internal fun <S> measureCost(
    decision: String,
    size: Int,
    calls: Int,
    prepare: () -> S,
    call: (S, Int) -> Any?
): DecisionCost {
    val before = usedHeapBytes()
    val state = prepare()
    val heapBytes = usedHeapBytes() - before
    repeat(calls) { sink = call(state, it) }
    val histogram = Histogram(MAX_CALL_NS, DIGITS)
    repeat(calls) { index ->
        val startNs = System.nanoTime()
        sink = call(state, index)
        histogram.recordValue((System.nanoTime() - startNs).coerceAtMost(MAX_CALL_NS))
    }
    return DecisionCost(
        decision,
        size,
        calls,
        histogram.getValueAtPercentile(50.0) / NS_PER_US,
        histogram.getValueAtPercentile(99.0) / NS_PER_US,
        histogram.mean / NS_PER_US,
        heapBytes
    )
}

/** Keeps results alive, so that the compiler cannot drop the calls that made them. */
@Volatile
private var sink: Any? = null

private fun usedHeapBytes(): Long {
    repeat(GC_ROUNDS) { System.gc() }
    return Runtime.getRuntime().run { totalMemory() - freeMemory() }
}

private const val MAX_CALL_NS = 10_000_000_000L
private const val DIGITS = 3
private const val NS_PER_US = 1_000.0
private const val GC_ROUNDS = 3
