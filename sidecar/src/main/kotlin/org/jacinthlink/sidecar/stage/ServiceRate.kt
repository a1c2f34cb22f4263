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

    private val firstToken = FirstTokenTime()
    private val firstTokenByClass = HashMap<String, FirstTokenTime>()

    /** Time from the start of a stream to its first token, over all classes. */
    fun firstTokenMs(nowMs: Long): Double = firstToken.at(nowMs)

    /**
     * Time from the start of a stream of [workClass] to its first token. Steps are shared by class,
     * so that the classes of a flood take far longer than the others.
     */
    fun firstTokenMs(workClass: String, nowMs: Long): Double =
        firstTokenByClass[workClass]?.at(nowMs) ?: 0.0

    fun onStarted(costTokens: Int) {
        windowTokens += costTokens
    }

    fun onFirstToken(workClass: String, elapsedMs: Long, nowMs: Long) {
        firstToken.record(elapsedMs, nowMs)
        firstTokenByClass.getOrPut(workClass) { FirstTokenTime() }.record(elapsedMs, nowMs)
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
