package org.jacinthlink.entry.chat

import org.jacinthlink.entry.EntryContext

/** Records the course of one chat request in the event log and in the metrics. */
internal class ChatRecorder(private val context: EntryContext, private val job: ChatJob) {
    private var firstTokenMs: Long? = null

    private val className: String get() = job.caller.workClass.name

    /** Records that [attempt] is about to be sent; the caller has [tokenCount] tokens already. */
    fun headChosen(attempt: ChatAttempt, tokenCount: Int) {
        if (attempt.number > 0) context.metrics.retried()
        val head = attempt.head
        record(
            "head_chosen",
            "head" to head.instance.value,
            "zone" to head.availabilityZone,
            "attempt" to attempt.number,
            "isolated" to attempt.isolated
        )
        if (tokenCount > 0) {
            record("stream_resumed", "head" to head.instance.value, "from_token" to tokenCount)
        }
    }

    /** Records the first token of the answer, [elapsedMs] after the request. */
    fun firstToken(elapsedMs: Long) {
        firstTokenMs = elapsedMs
        record("first_token", "elapsed_ms" to elapsedMs)
        context.metrics.firstToken(className, elapsedMs)
    }

    /** Records a further token, [gapMs] after the one before it. */
    fun nextToken(gapMs: Long) = context.metrics.tokenGap(className, gapMs)

    /** Records that [attempt] has ended without a complete answer. */
    fun attemptFailed(attempt: ChatAttempt, end: AttemptEnd) =
        record(
            "dispatch_failed",
            "head" to attempt.head.instance.value,
            "attempt" to attempt.number,
            "fate" to end.fate,
            "code" to end.refusal?.code,
            "cause" to end.cause
        )

    /** Records that the caller has left. */
    fun callerGone(tokenCount: Int, attemptCount: Int) {
        record("caller_gone", "tokens" to tokenCount, "attempts" to attemptCount)
        context.metrics.callerGone(className, attemptCount)
    }

    /** Records the end of the request, with its [failure] or null. */
    fun ended(failure: ChatFailure?, tokenCount: Int, attemptCount: Int, nowMs: Long) {
        record(
            "request_ended",
            "code" to (failure?.code ?: "OK"),
            "not_run" to failure?.notRun,
            "tokens" to tokenCount,
            "attempts" to attemptCount,
            "elapsed_ms" to nowMs - job.receivedAtMs
        )
        context.metrics.ended(
            className,
            failure?.code,
            attemptCount,
            failure?.notRun ?: false,
            firstTokenMs
        )
    }

    private fun record(name: String, vararg fields: Pair<String, Any?>) =
        context.eventLog.record(name, job.requestId, *fields)
}
