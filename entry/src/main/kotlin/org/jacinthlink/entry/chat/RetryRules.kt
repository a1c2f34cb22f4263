package org.jacinthlink.entry.chat

import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.StreamEvent
import org.jacinthlink.decision.dispatch.AttemptOutcome

/** How one attempt of a request ended without a complete answer. */
internal data class AttemptEnd(
    val fate: AttemptOutcome,
    val cause: String,
    val refusal: StreamEvent.Refused? = null
)

/** Rules for attempts after the first. */
internal object RetryRules {
    /** Enough for the loss of two heads in a row beside a draining and an overloaded one. */
    const val MAX_ATTEMPTS = 8

    // A third full head tells that the model is full, not that the choice was unlucky.
    private const val MAX_FULL_HEADS = 3

    private val FAULTS_OF_HEAD =
        setOf(
            ResultCode.NO_BACKEND_SERVER,
            ResultCode.STREAM_FAILED,
            ResultCode.INTERNAL_ERROR
        )
    private val FULL = setOf(ResultCode.OVERLOADED, ResultCode.DEADLINE_UNREACHABLE)
    private val RETRYABLE =
        FULL +
            setOf(
                ResultCode.NO_BACKEND_SERVER,
                ResultCode.DRAINING,
                ResultCode.UNKNOWN_MODEL,
                ResultCode.STREAM_FAILED,
                ResultCode.INTERNAL_ERROR
            )

    /**
     * True if another attempt may follow [ends].
     *
     * @param wasAccepted True if a head accepted the request once. Attempts that did not run do not
     *   count then: a stream that waited for a replacement may still lose that one.
     */
    fun mayFollow(ends: List<AttemptEnd>, wasAccepted: Boolean): Boolean {
        val counted = if (wasAccepted) ends.filter { it.fate != AttemptOutcome.NOT_RUN } else ends
        return counted.size < MAX_ATTEMPTS &&
            isRetryable(ends.last()) &&
            ends.count { it.refusal?.code in FULL } < MAX_FULL_HEADS
    }

    /** True if another head may do better after [end]. */
    fun isRetryable(end: AttemptEnd): Boolean =
        end.refusal.let { it == null || it.code in RETRYABLE || it.backendServerCrashed }

    /** True if the head, and not its load or the request, is at fault for [end]. */
    fun isFaultOfHead(end: AttemptEnd): Boolean =
        end.refusal == null || end.refusal.code in FAULTS_OF_HEAD

    /** True if an attempt after [end] takes from the retry budget. */
    fun isCharged(end: AttemptEnd): Boolean =
        end.fate != AttemptOutcome.NOT_RUN || end.refusal?.code in FULL

    /** True if the model was full at the last head, so that waiting for another is in vain. */
    fun isFull(ends: List<AttemptEnd>): Boolean = ends.lastOrNull()?.refusal?.code in FULL

    /** Failure to report after [ends]; [isDispatched] tells whether tokens reached the caller. */
    fun failure(ends: List<AttemptEnd>, isDispatched: Boolean): ChatFailure {
        val notRun = !isDispatched && ends.all { it.fate == AttemptOutcome.NOT_RUN }
        val last = ends.lastOrNull()
        val refusal = last?.refusal
        return when {
            refusal != null && (notRun || !refusal.code.notRun) ->
                ChatFailure(refusal.code, refusal.message, notRun, refusal.retryAfterMs)
            notRun ->
                ChatFailure(
                    ResultCode.NO_BACKEND_SERVER,
                    "no head could be reached: ${last?.cause ?: "none is known"}",
                    true,
                    RETRY_AFTER_MS
                )
            else ->
                ChatFailure(
                    ResultCode.STREAM_FAILED,
                    "the stream broke and could not be resumed: ${last?.cause}",
                    false
                )
        }
    }

    private const val RETRY_AFTER_MS = 1_000L
}
