package org.jacinthlink.sidecar.stage

/**
 * Rate at which queued tokens are taken into execution, measured while requests wait. An empty
 * queue says nothing about the rate that could be reached.
 */
internal class ServiceRate(nominalTokensPerSecond: Double) {
    private var windowStartMs = 0L
    private var windowTokens = 0L
    private var isWaiting = false

    var tokensPerSecond = nominalTokensPerSecond
        private set

    /** Smoothed time from the start of a stream to its first token. */
    var firstTokenMs = 0.0
        private set

    fun onStarted(costTokens: Int) {
        windowTokens += costTokens
    }

    fun onFirstToken(elapsedMs: Long) {
        firstTokenMs += WEIGHT * (elapsedMs - firstTokenMs)
    }

    /** Ends the present window if it is long enough. */
    fun update(queuedRequests: Int, nowMs: Long) {
        val elapsedMs = nowMs - windowStartMs
        if (isWaiting && elapsedMs < WINDOW_MS) return
        if (isWaiting && queuedRequests > 0) {
            val measured = windowTokens * 1_000.0 / elapsedMs
            tokensPerSecond = maxOf(1.0, tokensPerSecond + WEIGHT * (measured - tokensPerSecond))
        }
        isWaiting = queuedRequests > 0
        windowStartMs = nowMs
        windowTokens = 0
    }

    private companion object {
        const val WINDOW_MS = 1_000L
        const val WEIGHT = 0.3
    }
}
