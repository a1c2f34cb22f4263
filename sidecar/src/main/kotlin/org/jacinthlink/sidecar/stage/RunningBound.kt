package org.jacinthlink.sidecar.stage

import kotlin.math.ceil
import org.jacinthlink.api.WorkClass

/**
 * Number of streams that run at the same time.
 *
 * It is the product of the throughput of the route and the time between two tokens that the classes
 * ask for, with some reserve: with fewer the stages idle, with more each stream only waits longer
 * between its tokens.
 *
 * A route over slow links takes longer between two tokens, however few streams run. It gets more
 * streams while requests wait and its throughput stays below the planned one. The shortest time
 * between two tokens bounds the raise, but is no reason for one: in a flood that meets a cold fleet
 * it is long because of the streams that run already.
 */
internal class RunningBound(private val fixed: Int?, classes: Map<String, WorkClass>) {
    private var classGapMs = shortestClassGapMs(classes)
    private var shortestGapMs = Double.POSITIVE_INFINITY
    private var windowStartMs = 0L
    private var windowTokens = 0L
    private var isWaiting = false
    private var raise = 1.0

    /** Puts the configured [classes] in force. */
    fun update(classes: Map<String, WorkClass>) {
        classGapMs = shortestClassGapMs(classes)
    }

    fun onStarted(costTokens: Int) {
        windowTokens += costTokens
    }

    fun onToken(gapMs: Double) {
        windowTokens++
        if (gapMs > 0) shortestGapMs = minOf(shortestGapMs, gapMs)
    }

    /** Forgets the times of former stages. */
    fun reset() {
        shortestGapMs = Double.POSITIVE_INFINITY
        raise = 1.0
    }

    /** Ends the present window if it is long enough. */
    fun update(queuedRequests: Int, plannedTokensPerSecond: Double, nowMs: Long) {
        val elapsedMs = nowMs - windowStartMs
        if (isWaiting && elapsedMs < WINDOW_MS) return
        if (isWaiting && queuedRequests > 0) {
            adapt(windowTokens * 1_000.0 / elapsedMs, plannedTokensPerSecond)
        }
        isWaiting = queuedRequests > 0
        windowStartMs = nowMs
        windowTokens = 0
    }

    private fun adapt(measuredTokensPerSecond: Double, plannedTokensPerSecond: Double) {
        val isBelowPlan = measuredTokensPerSecond < PLAN_PART * plannedTokensPerSecond
        val wanted = if (isBelowPlan) raise * RAISE else raise * LOWER
        val classStreams = plannedTokensPerSecond * classGapMs
        val highest = measuredTokensPerSecond * shortestGapMs / classStreams
        raise = minOf(wanted, highest).coerceAtLeast(1.0)
    }

    fun streams(tokensPerSecond: Double): Int {
        if (fixed != null) return fixed
        val streams = tokensPerSecond * classGapMs * RESERVE * raise / 1_000
        return ceil(streams).toInt().coerceIn(MIN_STREAMS, MAX_STREAMS)
    }

    private companion object {
        const val RESERVE = 1.5
        const val MIN_STREAMS = 4
        const val MAX_STREAMS = 1_024
        const val WINDOW_MS = 1_000L

        // The fixed part of a step takes some of the planned throughput.
        const val PLAN_PART = 0.8
        const val RAISE = 1.25
        const val LOWER = 0.9
        const val DEFAULT_GAP_MS = 35L

        fun shortestClassGapMs(classes: Map<String, WorkClass>): Double =
            (classes.values.minOfOrNull { it.tokenGapMs } ?: DEFAULT_GAP_MS).toDouble()
    }
}
