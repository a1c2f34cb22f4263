package org.jacinthlink.decision.admission

import kotlin.random.Random

/**
 * Times at which refused callers return.
 *
 * Load pattern: a flood is refused within a short time, and its callers would return as a second
 * one. Each gets a slot of its own. The slots take a part of the rate at which requests start,
 * because new callers arrive meanwhile.
 */
internal class ReturnSchedule(private val random: Random) {
    private var nextSlotAtMs = 0L

    /**
     * Time after which the next caller may return.
     *
     * @param waitMs Expected wait of a request that arrives now.
     * @param intervalMs Time in which the callers of this router can start one request.
     * @param maxMs Longest time that the caller accepts.
     */
    fun retryAfterMs(nowMs: Long, waitMs: Double, intervalMs: Double, maxMs: Long): Long {
        val limitMs = maxMs.coerceAtLeast(MIN_RETRY_MS)
        val slotMs = (intervalMs / RETURN_SHARE).coerceAtMost(limitMs.toDouble()).toLong()
        val earliestAtMs = nowMs + waitMs.coerceAtMost(limitMs.toDouble()).toLong()
        val slotAtMs = maxOf(nextSlotAtMs, earliestAtMs)
        if (slotAtMs + slotMs > nowMs + limitMs) return anyTimeMs(limitMs)
        nextSlotAtMs = slotAtMs + slotMs
        return (slotAtMs - nowMs + random.nextLong(slotMs + 1)).coerceAtLeast(MIN_RETRY_MS)
    }

    /** All slots that the caller accepts are taken, so it gets a time in the later half of them. */
    private fun anyTimeMs(limitMs: Long): Long = limitMs / 2 + random.nextLong(limitMs / 2 + 1)

    private companion object {
        /** Part of the starting requests that returning callers may take. */
        const val RETURN_SHARE = 0.5
        const val MIN_RETRY_MS = 300L
    }
}
