package org.jacinthlink.decision.admission

/**
 * A request that waits until its service has room for it.
 *
 * @property workspace Workspace that the request is charged to; empty if the route needs no key.
 * @property priority Rank; 0 is the most urgent.
 * @property tokens Room that the request needs.
 * @property arrivedAtMs Time at which the router received the request.
 * @property spentMs Time that the caller had spent on earlier attempts before [arrivedAtMs].
 * @property targetMs Time from the caller's first attempt within which an answer is on time.
 * @property latestStartAtMs Time after which the caller would leave before it has an answer.
 * @property maxRetryAfterMs Longest time after a refusal at which the caller still comes back.
 */
data class WaitingRequest<T>(
    val item: T,
    val workspace: String,
    val priority: Int,
    val tokens: Long,
    val arrivedAtMs: Long,
    val spentMs: Long,
    val targetMs: Long,
    val latestStartAtMs: Long,
    val maxRetryAfterMs: Long
) {
    /** True if the caller comes back after an earlier attempt. */
    val hasReturned: Boolean get() = spentMs >= MIN_RETURN_MS

    /** True if an answer is late even if the request starts at [nowMs]. */
    fun isLate(nowMs: Long, answerMs: Long): Boolean =
        nowMs - arrivedAtMs + spentMs + answerMs > targetMs

    internal fun turn(nowMs: Long, answerMs: Long): Turn =
        if (hasReturned || isLate(nowMs, answerMs)) Turn.OTHER else Turn.ON_TIME

    private companion object {
        /** `Retry-After` is longer than this; smaller differences are transmission times. */
        const val MIN_RETURN_MS = 250L
    }
}

/** Whether a request is added to the queue. */
sealed interface QueueDecision {
    /** Expected wait of the request, in ms. It may be infinite. */
    val waitMs: Double

    /** The request is in the queue. */
    data class Queued(override val waitMs: Double) : QueueDecision

    /** The request would start too late; its caller may retry after [retryAfterMs]. */
    data class Refused(override val waitMs: Double, val retryAfterMs: Long) : QueueDecision
}
