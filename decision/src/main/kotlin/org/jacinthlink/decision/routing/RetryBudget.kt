package org.jacinthlink.decision.routing

/**
 * Token bucket that bounds repeated attempts to a part of the requests.
 *
 * @property capacity Burst. It covers the streams of one entry that lose their heads at the same
 *   time with an availability zone.
 * @property perRequest Tokens that each request adds.
 * @property perSecond Tokens added with time, so that a rarely used entry can retry at all.
 */
data class RetryBudget(
    val tokens: Double,
    val updatedAtMs: Long,
    val capacity: Double = 200.0,
    val perRequest: Double = 0.1,
    val perSecond: Double = 1.0
) {
    /** State after one more request. */
    fun onRequest(nowMs: Long): RetryBudget = refilled(nowMs, perRequest)

    /** State after one more retry, or null if the budget is used up. */
    fun withdraw(nowMs: Long): RetryBudget? =
        refilled(nowMs, 0.0).let {
            if (it.tokens >=
                1.0
            ) {
                it.copy(tokens = it.tokens - 1.0)
            } else {
                null
            }
        }

    private fun refilled(nowMs: Long, added: Double): RetryBudget {
        val elapsedMs = (nowMs - updatedAtMs).coerceAtLeast(0)
        val refilled = tokens + added + elapsedMs * perSecond / 1_000
        return copy(
            tokens = refilled.coerceAtMost(capacity),
            updatedAtMs = maxOf(nowMs, updatedAtMs)
        )
    }
}

/** A full budget. */
fun retryBudget(nowMs: Long): RetryBudget =
    RetryBudget(tokens = 0.0, updatedAtMs = nowMs).let { it.copy(tokens = it.capacity) }
