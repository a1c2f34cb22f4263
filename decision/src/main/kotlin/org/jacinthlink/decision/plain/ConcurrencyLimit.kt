package org.jacinthlink.decision.plain

/**
 * Number of requests that a server of a plain service should run at a time, for all routers.
 *
 * Load pattern: a burst fills the queue of a server, or the server becomes slower. Further requests
 * only make all of its answers late, or are not executed. The limit starts at the server's slots,
 * rises additively while it is used, falls multiplicatively when the server has no capacity, and
 * follows the gradient of the response time while requests wait.
 */
class ConcurrencyLimit internal constructor(slots: Int) {
    private var exactLimit = (if (slots > 0) slots else USUAL_SLOTS).toDouble()
    private var loweredAtMs: Long? = null
    private val fastestRound = RecentMinimum()
    private var answerCount = 0
    private var usedCount = 0
    private var sumMs = 0L

    /** The limit, which is 1 at least. */
    val limit: Int get() = exactLimit.toInt()

    /**
     * Records that the server did not execute a request for lack of capacity. Returns true if that
     * lowers the limit.
     */
    fun refused(nowMs: Long): Boolean {
        val lastMs = loweredAtMs
        if (lastMs != null && nowMs - lastMs < LOWERING_PAUSE_MS) return false
        loweredAtMs = nowMs
        return lower(REFUSED_FACTOR)
    }

    /**
     * Records an answer that took [tookMs]. Returns true if that lowers the limit.
     *
     * @param inFlight Requests of all routers that the server had before it answered.
     * @param isWaiting True if requests wait for a place at a server of the service.
     */
    fun answered(tookMs: Long, inFlight: Int, isWaiting: Boolean, nowMs: Long): Boolean {
        answerCount++
        sumMs += tookMs
        if (inFlight * USED_DIVISOR >= limit) usedCount++
        if (answerCount < maxOf(limit, MIN_ROUND_ANSWERS)) return false
        val roundMs = sumMs.toDouble() / answerCount
        // A limit that is not used says nothing about what the server can run.
        val isUsed = usedCount * 2 >= answerCount
        answerCount = 0
        usedCount = 0
        sumMs = 0
        return endRound(roundMs, isUsed, isWaiting, nowMs)
    }

    private fun endRound(
        roundMs: Double,
        isUsed: Boolean,
        isWaiting: Boolean,
        nowMs: Long
    ): Boolean {
        fastestRound.record(roundMs, nowMs)
        val tolerableMs = TOLERANCE * fastestRound.value.coerceAtLeast(MIN_RESPONSE_MS)
        if (isWaiting && roundMs > tolerableMs) {
            return lower((tolerableMs / roundMs).coerceAtLeast(MIN_FACTOR))
        }
        if (isUsed) exactLimit += 1
        return false
    }

    private fun lower(factor: Double): Boolean {
        val previous = limit
        exactLimit = (exactLimit * factor).coerceAtLeast(1.0)
        return limit < previous
    }

    private companion object {
        /** For a server whose entry names no slots. */
        const val USUAL_SLOTS = 6

        /** Requests that were sent before a fall took effect must not lower the limit again. */
        const val LOWERING_PAUSE_MS = 200L
        const val REFUSED_FACTOR = 0.9

        /** A limit is used if at least this part of it is. */
        const val USED_DIVISOR = 2

        /** Mean of so many answers at least, because requests of one service differ. */
        const val MIN_ROUND_ANSWERS = 4

        /** The response time doubles when as many requests wait at the server as it runs. */
        const val TOLERANCE = 2.0
        const val MIN_FACTOR = 0.5

        /** Differences below this are due to the network and the clock. */
        const val MIN_RESPONSE_MS = 5.0
    }
}

/** Creates the limit of a server whose entry names [slots], or 0 if it names none. */
fun concurrencyLimit(slots: Int): ConcurrencyLimit = ConcurrencyLimit(slots)

/** Smallest value of the latest one or two windows. */
private class RecentMinimum {
    private var current = Double.POSITIVE_INFINITY
    private var previous = Double.POSITIVE_INFINITY
    private var windowEndsAtMs: Long? = null

    val value: Double get() = minOf(current, previous)

    fun record(value: Double, nowMs: Long) {
        val endsAtMs = windowEndsAtMs
        if (endsAtMs == null || nowMs >= endsAtMs) {
            val isPreviousRecent = endsAtMs != null && nowMs < endsAtMs + WINDOW_MS
            previous = if (isPreviousRecent) current else Double.POSITIVE_INFINITY
            current = Double.POSITIVE_INFINITY
            windowEndsAtMs = nowMs + WINDOW_MS
        }
        current = minOf(current, value)
    }

    private companion object {
        /** Longer than an overload, whose response times must not become the reference. */
        const val WINDOW_MS = 15_000L
    }
}
