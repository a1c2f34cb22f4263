package org.jacinthlink.decision.retry

/**
 * This instance's part of the budget of repeated sends that all instances share.
 *
 * Load pattern: many streams lose their backend server at once, on all instances. The fixed part of
 * the budget is divided among the instances, so their sum keeps the bound without messages.
 *
 * @property windowMs Length of the sliding window.
 * @property ratio Repeats for each first send in the window.
 * @property extra Repeats that the window may have besides, over all instances.
 */
class RetryLedger internal constructor(
    private val windowMs: Long,
    private val ratio: Double,
    private val extra: Double
) {
    private val firstSendsMs = ArrayDeque<Long>()
    private val repeatsMs = ArrayDeque<Long>()

    /** Notes the first send of a request. */
    fun onFirstSend(nowMs: Long) {
        forget(nowMs)
        firstSendsMs.addLast(nowMs)
    }

    /** Takes one repeat if the part of one among [instanceCount] instances allows it. */
    fun tryRepeat(nowMs: Long, instanceCount: Int): Boolean {
        forget(nowMs)
        val allowed = ratio * firstSendsMs.size + extra * SAFETY / instanceCount.coerceAtLeast(1)
        if (repeatsMs.size + 1 > allowed) return false
        repeatsMs.addLast(nowMs)
        return true
    }

    private fun forget(nowMs: Long) {
        while (firstSendsMs.isNotEmpty() && firstSendsMs.first() <= nowMs - windowMs) {
            firstSendsMs.removeFirst()
        }
        while (repeatsMs.isNotEmpty() && repeatsMs.first() <= nowMs - windowMs) {
            repeatsMs.removeFirst()
        }
    }

    private companion object {
        /** Left unused, because instances learn late of one another. */
        const val SAFETY = 0.7
    }
}

/** An empty ledger. */
fun retryLedger(windowMs: Long, ratio: Double, extra: Double): RetryLedger =
    RetryLedger(windowMs, ratio, extra)
