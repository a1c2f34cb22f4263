package org.jacinthlink.decision.retry

/**
 * Sends within the present window.
 *
 * @property first First sends of requests.
 * @property repeats Sends beyond the first.
 */
data class AttemptCounts(val first: Int, val repeats: Int)

/**
 * This instance's use of the budget of repeated sends that all instances share.
 *
 * Load pattern: many streams lose their backend server at once, on all instances. What is left of
 * the budget by the newest word of the others is divided among the instances until they are heard
 * again, so the sum keeps the bound although each knows the others' use a little late.
 *
 * @property windowMs Length of the sliding window.
 * @property ratio Repeats for each first send in the window.
 * @property extra Repeats that the window may have besides, over all instances.
 */
class SharedRetryBudget internal constructor(
    private val windowMs: Long,
    private val ratio: Double,
    private val extra: Double
) {
    private val firstSendsMs = ArrayDeque<Long>()
    private val repeatsMs = ArrayDeque<Long>()
    private var others = AttemptCounts(0, 0)
    private var otherCount = 0
    private var repeatsSinceNews = 0
    private var shareUntilNews = 0.0
    private var newsAtMs: Long? = null

    /** Sends of this instance within the window. */
    fun counts(nowMs: Long): AttemptCounts {
        forget(nowMs)
        return AttemptCounts(firstSendsMs.size, repeatsMs.size)
    }

    /** Notes the first send of a request. */
    fun onFirstAttempt(nowMs: Long) {
        firstSendsMs.addLast(nowMs)
    }

    /** Takes the counts of the [count] other instances together. */
    fun updatePeerCounts(counts: AttemptCounts, count: Int, nowMs: Long) {
        val lastMs = newsAtMs
        if (lastMs != null && nowMs - lastMs < NEWS_PERIOD_MS && count == otherCount) return
        newsAtMs = nowMs
        others = counts
        otherCount = count
        repeatsSinceNews = 0
        shareUntilNews = left(nowMs) / (count + 1)
    }

    /** Takes one repeat if the budget allows it. */
    fun tryRetry(nowMs: Long): Boolean {
        if (repeatsSinceNews + 1 > share(nowMs)) return false
        repeatsSinceNews++
        repeatsMs.addLast(nowMs)
        return true
    }

    /** True if a repeat that could be done without leaves enough for those that are needed. */
    fun allowsOptionalRetry(nowMs: Long): Boolean = repeatsSinceNews + 1 <= share(nowMs) / 2

    private fun share(nowMs: Long): Double =
        if (otherCount == 0) left(nowMs) + repeatsSinceNews else shareUntilNews

    private fun left(nowMs: Long): Double {
        val own = counts(nowMs)
        val allowed = ratio * (own.first + others.first) * SAFETY + extra * SAFETY
        return (allowed - own.repeats - others.repeats).coerceAtLeast(0.0)
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
        /** Part of the budget that is used; a restarted instance has forgotten what it used. */
        const val SAFETY = 0.7

        /** News of all others have come anew after this time. */
        const val NEWS_PERIOD_MS = 250L
    }
}

/** An empty ledger. */
fun sharedRetryBudget(windowMs: Long, ratio: Double, extra: Double): SharedRetryBudget =
    SharedRetryBudget(windowMs, ratio, extra)
