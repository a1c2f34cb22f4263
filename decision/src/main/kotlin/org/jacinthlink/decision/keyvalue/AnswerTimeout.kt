package org.jacinthlink.decision.keyvalue

/**
 * Timeout of calls: twice the slowest recent response time, between [minMs] and [maxMs].
 *
 * A call without a response counts with the time that it waited, so that the timeout doubles until
 * responses arrive again.
 */
data class AnswerTimeout(val minMs: Long, val maxMs: Long, private val slowestMs: Long = 0) {
    val timeoutMs: Long get() = (2 * slowestMs).coerceIn(minMs, maxMs)

    /** Returns the timeout after a response that took [elapsedMs]. */
    fun answered(elapsedMs: Long): AnswerTimeout =
        copy(slowestMs = maxOf(elapsedMs, slowestMs * 3 / 4).coerceAtMost(maxMs))

    /** Returns the timeout after a call without a response within [elapsedMs]. */
    fun unanswered(elapsedMs: Long): AnswerTimeout =
        copy(slowestMs = maxOf(elapsedMs, slowestMs).coerceAtMost(maxMs))
}
