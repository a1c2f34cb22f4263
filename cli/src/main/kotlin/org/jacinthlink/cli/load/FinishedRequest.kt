package org.jacinthlink.cli.load

/** A request with its outcome. Times are in microseconds of the run. */
internal data class FinishedRequest(
    val request: ScheduledRequest,
    val outcome: RequestOutcome,
    val endedAtUs: Long,
    val tokenTimesUs: List<Long> = emptyList(),
    val isWrong: Boolean = false
) {
    val isAnswered: Boolean get() = outcome == RequestOutcome.ANSWERED

    /** Time to the first token, or to the whole answer of a plain call. */
    val firstTokenUs: Long
        get() = (tokenTimesUs.firstOrNull() ?: endedAtUs) - request.sendAtUs

    val wholeAnswerUs: Long get() = endedAtUs - request.sendAtUs
}
