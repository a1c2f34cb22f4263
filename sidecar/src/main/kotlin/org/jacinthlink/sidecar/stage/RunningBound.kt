package org.jacinthlink.sidecar.stage

import kotlin.math.ceil

/**
 * Number of streams that run at the same time.
 *
 * It is the product of the throughput of the route and the shortest time between two tokens that
 * was seen, with some reserve: with fewer the stages idle, with more each stream only waits longer
 * between its tokens.
 */
internal class RunningBound(private val fixed: Int?, private val tokenGapMs: Double) {
    private var windowStartMs = 0L
    private var formerGapMs = Double.POSITIVE_INFINITY
    private var presentGapMs = Double.POSITIVE_INFINITY

    fun onTokenGap(gapMs: Double, nowMs: Long) {
        if (nowMs - windowStartMs >= WINDOW_MS) {
            windowStartMs = nowMs
            formerGapMs = presentGapMs
            presentGapMs = Double.POSITIVE_INFINITY
        }
        if (gapMs > 0) presentGapMs = minOf(presentGapMs, gapMs)
    }

    fun streams(tokensPerSecond: Double): Int {
        if (fixed != null) return fixed
        val shortestGapMs = minOf(formerGapMs, presentGapMs)
        val observedMs = if (shortestGapMs.isFinite()) shortestGapMs * RESERVE else 0.0
        val gapMs = maxOf(tokenGapMs * RESERVE, observedMs)
        return ceil(tokensPerSecond * gapMs / 1_000).toInt().coerceIn(MIN_STREAMS, MAX_STREAMS)
    }

    private companion object {
        const val RESERVE = 1.5

        // Times seen with other stages in the routes must not count for long.
        const val WINDOW_MS = 10_000L
        const val MIN_STREAMS = 4
        const val MAX_STREAMS = 1_024
    }
}
