package org.jacinthlink.decision.routing

/**
 * Token bucket that limits retries to a fraction of the requests.
 *
 * @property capacity Maximum burst. It covers the streams of one entry that lose their heads at the
 *   same time when an availability zone fails.
 * @property perRequest Tokens that each request adds.
 * @property perSecond Tokens added per second, so that an entry with few requests can retry too.
 */
data class RetryBudget(
    val tokens: Double,
    val updatedAtMs: Long,
    val capacity: Double = 200.0,
    val perRequest: Double = 0.1,
    val perSecond: Double = 1.0
) {
    /** Budget after one more request. */
    fun onRequest(nowMs: Long): RetryBudget = refilled(nowMs, perRequest)

    /** Budget after one more retry, or null if this budget is exhausted. */
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

/** Creates a full budget. */
fun retryBudget(nowMs: Long): RetryBudget =
    RetryBudget(tokens = 0.0, updatedAtMs = nowMs).let { it.copy(tokens = it.capacity) }
