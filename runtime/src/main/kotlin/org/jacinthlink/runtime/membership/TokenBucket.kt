package org.jacinthlink.runtime.membership

/** Token bucket that holds at most one second's worth of [ratePerSecond]. */
internal class TokenBucket(private val ratePerSecond: Double) {
    private var tokens = ratePerSecond
    private var filledAtMs: Long? = null

    /** Takes up to [wanted] tokens and returns how many there were. */
    fun take(wanted: Int, nowMs: Long): Int {
        val elapsedMs = nowMs - (filledAtMs ?: nowMs)
        filledAtMs = nowMs
        val filled = tokens + elapsedMs.coerceAtLeast(0) * ratePerSecond / 1_000
        tokens = filled.coerceAtMost(ratePerSecond)
        val taken = wanted.coerceAtMost(tokens.toInt())
        tokens -= taken
        return taken
    }
}
