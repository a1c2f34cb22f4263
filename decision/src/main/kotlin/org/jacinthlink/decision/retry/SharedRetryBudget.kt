package org.jacinthlink.decision.retry

/**
 * Numbers of attempts within the current window.
 *
 * @property first First attempts of requests.
 * @property repeats Retries.
 */
data class AttemptCounts(val first: Int, val repeats: Int)

/**
 * This instance's use of the retry budget that all instances share.
 *
 * The budget limits the retries when many streams on all instances lose their backend servers at
 * once. The instances divide the part of the budget that is unused according to the latest gossip
 * until the next gossip arrives. The sum of their retries therefore stays within the budget,
 * although each instance receives the counts of the others with a delay. They divide it by their
 * streams in progress, because instances of unlike size have unlike numbers of streams to retry.
 *
 * @property windowMs Length of the sliding window.
 * @property ratio Allowed retries per first attempt in the window.
 * @property extra Additional retries that all instances together are allowed in the window.
 */
class SharedRetryBudget internal constructor(
    private val windowMs: Long,
    private val ratio: Double,
    private val extra: Double
) {
    private val firstAttemptsMs = ArrayDeque<Long>()
    private val retriesMs = ArrayDeque<Long>()
    private var others = AttemptCounts(0, 0)
    private var otherCount = 0
    private var retriesSinceUpdate = 0
    private var shareUntilUpdate = 0.0
    private var updatedAtMs: Long? = null

    /** Returns the attempts of this instance within the window. */
    fun counts(nowMs: Long): AttemptCounts {
        dropExpired(nowMs)
        return AttemptCounts(firstAttemptsMs.size, retriesMs.size)
    }

    /** Records the first attempt of a request. */
    fun onFirstAttempt(nowMs: Long) {
        firstAttemptsMs.addLast(nowMs)
    }

    /**
     * Updates the sum of the counts of the [count] other instances.
     *
     * @param ownPart Part of the unused budget that this instance may use. The parts of all
     *   instances must add up to 1 at most.
     */
    fun updatePeerCounts(
        counts: AttemptCounts,
        count: Int,
        nowMs: Long,
        ownPart: Double = 1.0 / (count + 1)
    ) {
        val lastMs = updatedAtMs
        if (lastMs != null && nowMs - lastMs < GOSSIP_PERIOD_MS && count == otherCount) return
        updatedAtMs = nowMs
        others = counts
        otherCount = count
        retriesSinceUpdate = 0
        shareUntilUpdate = remaining(nowMs) * ownPart
    }

    /** Takes one retry from the budget, or returns false if the budget does not allow it. */
    fun tryRetry(nowMs: Long): Boolean {
        if (!allowsRetry(nowMs)) return false
        retriesSinceUpdate++
        retriesMs.addLast(nowMs)
        return true
    }

    /** True if the budget allows one more retry. */
    fun allowsRetry(nowMs: Long): Boolean = retriesSinceUpdate + 1 <= share(nowMs)

    /** True if an optional retry would leave enough of the budget for necessary retries. */
    fun allowsOptionalRetry(nowMs: Long): Boolean = retriesSinceUpdate + 1 <= share(nowMs) / 2

    private fun share(nowMs: Long): Double =
        if (otherCount == 0) remaining(nowMs) + retriesSinceUpdate else shareUntilUpdate

    private fun remaining(nowMs: Long): Double {
        val own = counts(nowMs)
        val allowed = ratio * (own.first + others.first) * USED_SHARE + extra * USED_SHARE
        return (allowed - own.repeats - others.repeats).coerceAtLeast(0.0)
    }

    private fun dropExpired(nowMs: Long) {
        while (firstAttemptsMs.isNotEmpty() && firstAttemptsMs.first() <= nowMs - windowMs) {
            firstAttemptsMs.removeFirst()
        }
        while (retriesMs.isNotEmpty() && retriesMs.first() <= nowMs - windowMs) {
            retriesMs.removeFirst()
        }
    }

    private companion object {
        /**
         * Fraction of the budget that is used. The remainder covers the retries of restarted
         * instances, which have lost their counts.
         */
        const val USED_SHARE = 0.7

        /** New gossip of all other instances arrives within this time. */
        const val GOSSIP_PERIOD_MS = 250L
    }
}

/**
 * Part of a shared budget for an instance with a need of [own], in streams in progress or requests,
 * of which its peers with recent gossip have [peers].
 *
 * A peer without recent gossip may be running, so it keeps the part that an even division gives it.
 * Each instance counts as if it needed one more, so that one without a need can serve the next.
 *
 * @param heardCount Number of peers with recent gossip.
 * @param knownCount Number of peers that may be running.
 */
fun budgetPart(own: Int, peers: Int, heardCount: Int, knownCount: Int): Double {
    val partOfHeard = (own + 1.0) / (own + 1.0 + peers + heardCount)
    return partOfHeard * (heardCount + 1) / (maxOf(knownCount, heardCount) + 1)
}

/** Creates the budget of an instance without attempts. */
fun sharedRetryBudget(windowMs: Long, ratio: Double, extra: Double): SharedRetryBudget =
    SharedRetryBudget(windowMs, ratio, extra)
