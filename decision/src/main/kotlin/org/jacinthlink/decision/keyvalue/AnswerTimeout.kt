package org.jacinthlink.decision.keyvalue

/**
 * Time for which an answer is awaited: twice the slowest answer of late, between [minMs] and
 * [maxMs].
 *
 * A call without an answer counts with the time that it waited, so that the time-out doubles until
 * answers arrive again.
 */
data class AnswerTimeout(val minMs: Long, val maxMs: Long, private val slowestMs: Long = 0) {
    val timeoutMs: Long get() = (2 * slowestMs).coerceIn(minMs, maxMs)

    /** State after an answer that took [elapsedMs]. */
    fun answered(elapsedMs: Long): AnswerTimeout =
        copy(slowestMs = maxOf(elapsedMs, slowestMs * 3 / 4).coerceAtMost(maxMs))

    /** State after a call that had no answer in [elapsedMs]. */
    fun unanswered(elapsedMs: Long): AnswerTimeout =
        copy(slowestMs = maxOf(elapsedMs, slowestMs).coerceAtMost(maxMs))
}
