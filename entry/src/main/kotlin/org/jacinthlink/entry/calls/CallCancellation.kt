package org.jacinthlink.entry.calls

import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.CallCancel
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.ResultCode
import org.jacinthlink.decision.dispatch.AttemptOutcome
import org.jacinthlink.decision.dispatch.DispatchOutcome
import org.jacinthlink.decision.dispatch.dispatchOutcome
import org.jacinthlink.entry.EntryContext

/** Asks that a keyed call of unknown outcome never run, so that the caller can be told so. */
internal class CallCancellation(
    private val job: CallJob,
    private val context: EntryContext,
    private val directory: ServiceDirectory,
    private val transport: CallTransport
) {
    /** End of the call with idempotency [key] after attempts with [fates]; null if unknown. */
    fun run(key: String, fates: List<AttemptOutcome>): CallEnd? {
        val call = job.call
        val cancel = CallCancel(job.requestId, call.workspace, call.service, key, call.bodyHash)
        val endAtMs = context.clock.nowMs() + MAX_DURATION_MS
        return directory.ranked(job).firstNotNullOfOrNull { sidecar ->
            val leftMs = endAtMs - context.clock.nowMs()
            if (leftMs > 0) runAt(sidecar, cancel, minOf(leftMs, TIMEOUT_MS), fates) else null
        }
    }

    private fun runAt(
        sidecar: InstanceDescription,
        cancel: CallCancel,
        timeoutMs: Long,
        fates: List<AttemptOutcome>
    ): CallEnd? {
        val reply = transport.cancel(sidecar, cancel, timeoutMs)
        context.eventLog.record(
            "cancel_asked",
            job.requestId,
            "sidecar" to sidecar.instance.value,
            "reply" to reply
        )
        return when (val answer = (reply as? CallReply.Answer)?.answer) {
            null -> null
            is CallAnswer.Executed -> CallEnd.Answered(answer)
            is CallAnswer.Unknown -> unknown(answer.message)
            is CallAnswer.InProgress -> unknown("the call is in execution")
            is CallAnswer.Refused ->
                if (answer.code in CallDispatcher.CONCLUSIVE) cancelled(answer, fates) else null
        }
    }

    private fun cancelled(answer: CallAnswer.Refused, fates: List<AttemptOutcome>): CallEnd =
        when (dispatchOutcome(fates, cancelled = true)) {
            DispatchOutcome.NOT_RUN -> CallEnd.Failed(answer.code, answer.message, true)
            else -> unknown("an attempt of the call ran")
        }

    private fun unknown(message: String) =
        CallEnd.Failed(ResultCode.OUTCOME_UNKNOWN, message, notRun = false)

    private companion object {
        // Sidecars wait 2 s at most for the write of a cancelled claim.
        const val TIMEOUT_MS = 2_500L
        const val MAX_DURATION_MS = 5_000L
    }
}
