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
 * A route over slow links takes longer between two tokens, however few streams run. While requests
 * wait and the throughput stays below the planned one, the bound is raised on trial, and lowered
 * again if the throughput does not follow. A long time between tokens is no reason for a raise: in
 * a flood that meets cold or busy processes it comes from the streams that run already.
 */
internal class RunningBound(private val fixed: Int?, classes: Map<String, WorkClass>) {
    private var classGapMs = shortestTokenGapMs(classes)
    private var windowStartMs = 0L
    private var windowTokens = 0L
    private var isWaiting = false
    private var raise = 1.0
    private var isOnTrial = false
    private var pauseWindows = 1
    private var formerTokensPerSecond = 0.0

    /** Puts the configured [classes] in force. */
    fun update(classes: Map<String, WorkClass>) {
        classGapMs = shortestTokenGapMs(classes)
    }

    fun onStarted(costTokens: Int) {
        windowTokens += costTokens
    }

    fun onToken() {
        windowTokens++
    }

    /** Forgets what was learnt of former stages. */
    fun reset() {
        raise = 1.0
        pause(1)
    }

    /** Ends the present window if it is long enough. */
    fun update(queuedRequests: Int, plannedTokensPerSecond: Double, nowMs: Long) {
        val elapsedMs = nowMs - windowStartMs
        if (isWaiting && queuedRequests > 0 && elapsedMs < WINDOW_MS) return
        if (isWaiting && queuedRequests > 0) {
            adapt(windowTokens * 1_000.0 / elapsedMs, plannedTokensPerSecond)
        } else {
            // A flood begins; its first window may find cold processes.
            pause(1)
        }
        isWaiting = queuedRequests > 0
        windowStartMs = nowMs
        windowTokens = 0
    }

    private fun adapt(tokensPerSecond: Double, plannedTokensPerSecond: Double) {
        when {
            tokensPerSecond >= PLAN_PART * plannedTokensPerSecond -> {
                raise = (raise * LOWER).coerceAtLeast(1.0)
                isOnTrial = false
            }
            isOnTrial && tokensPerSecond < formerTokensPerSecond * FOLLOWS -> {
                raise = (raise / (STEP * STEP)).coerceAtLeast(1.0)
                pause(PAUSE_WINDOWS)
            }
            pauseWindows > 0 -> pauseWindows--
            else -> {
                raise *= STEP
                isOnTrial = true
            }
        }
        formerTokensPerSecond = tokensPerSecond
    }

    private fun pause(windows: Int) {
        isOnTrial = false
        pauseWindows = windows
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
        const val WINDOW_MS = 5_000L
        const val PAUSE_WINDOWS = 6

        // The fixed part of a step takes some of the planned throughput.
        const val PLAN_PART = 0.8
        const val LOWER = 0.9

        // Where streams are too few, the throughput grows as they do.
        const val STEP = 1.25
        const val FOLLOWS = 1.1
    }
}
