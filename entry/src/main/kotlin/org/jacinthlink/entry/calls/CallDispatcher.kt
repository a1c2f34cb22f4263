package org.jacinthlink.entry.calls

import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ResultCode
import org.jacinthlink.decision.dispatch.AttemptOutcome
import org.jacinthlink.decision.dispatch.DispatchOutcome
import org.jacinthlink.decision.dispatch.dispatchOutcome
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.RetryAccount

/**
 * Dispatches one plain call, with the thread of its caller.
 *
 * A keyed call is repeated with its key after an unknown outcome, because claims keep it from
 * running twice. A call without a key is one that may be repeated.
 */
internal class CallDispatcher(
    private val job: CallJob,
    private val context: EntryContext,
    private val directory: ServiceDirectory,
    private val retries: RetryAccount
) {
    private val transport = CallTransport(context)
    private val fates = ArrayList<AttemptOutcome>()
    private val excluded = HashSet<InstanceId>()
    private var lastRefusal: CallAnswer.Refused? = null
    private var unreachedCount = 0
    private var lastFailedAtMs = 0L
    private var lastCause = "no sidecar of service ${job.call.service} can be reached"

    /** Attempts so far. */
    val attemptCount: Int get() = fates.size

    fun run(): CallEnd {
        while (mayAttempt()) {
            val sidecar = nextSidecar() ?: awaitSidecar() ?: return conclude()
            attempt(sidecar)?.let { return it }
        }
        return conclude()
    }

    // A sidecar that was cut off or restarted is found again within the target of the call. A full
    // service is not waited for: its refusal is due at once.
    private fun awaitSidecar(): InstanceDescription? =
        if (lastRefusal?.code in FULL) null else directory.waiting(::pollSidecar)

    private fun pollSidecar(): InstanceDescription? {
        val endAtMs = minOf(job.deadlineAtMs, context.clock.nowMs() + MAX_SIDECAR_WAIT_MS)
        while (context.clock.nowMs() < endAtMs) {
            Thread.sleep(SIDECAR_POLL_MS)
            if (context.clock.nowMs() - lastFailedAtMs >= ROUND_MS) excluded.clear()
            nextSidecar()?.let { return it }
        }
        return null
    }

    private fun mayAttempt(): Boolean {
        if (remainingMs() <= 0 || fates.size - unreachedCount >= MAX_ATTEMPTS) return false
        if (fates.isEmpty()) return true
        val isCharged =
            fates.last() != AttemptOutcome.NOT_RUN || lastRefusal?.code in FULL
        if (isCharged && !retries.withdraw(context.clock.nowMs())) return false
        context.metrics.retried()
        return true
    }

    /** One message to [sidecar]; returns the end of the call if there is one. */
    private fun attempt(sidecar: InstanceDescription): CallEnd? {
        val remainingMs = remainingMs()
        val timeoutMs = attemptTimeoutMs(remainingMs)
        record("sidecar_chosen", "sidecar" to sidecar.instance.value, "attempt" to fates.size)
        directory.loads.sent(sidecar.instance)
        val reply =
            try {
                transport.call(
                    sidecar,
                    job.call.copy(
                        remainingMs = remainingMs,
                        sentAtMs = context.clock.nowMs(),
                        claimWithinMs = claimWithinMs(timeoutMs)
                    ),
                    timeoutMs,
                    fresh = fates.isNotEmpty()
                )
            } finally {
                directory.loads.finished(sidecar.instance)
            }
        return when (reply) {
            is CallReply.Answer -> answered(sidecar, reply.answer)
            is CallReply.None -> {
                directory.failures.failed(sidecar.instance, context.clock.nowMs())
                if (reply.fate == AttemptOutcome.NOT_RUN) unreachedCount++
                failed(sidecar, reply.fate, reply.cause)
                null
            }
        }
    }

    // A key is claimed in the time of one attempt: another sidecar would only claim it again.
    private fun attemptTimeoutMs(remainingMs: Long): Long {
        val partMs = if (job.key == null) remainingMs / 2 else remainingMs * 3 / 4
        return minOf(remainingMs, maxOf(MIN_ATTEMPT_MS, partMs))
    }

    // The refusal of a claim that takes too long must arrive before the attempt is given up, since
    // the outcome is unknown otherwise.
    private fun claimWithinMs(timeoutMs: Long): Long =
        timeoutMs - minOf(timeoutMs / 2, maxOf(MIN_ANSWER_MS, timeoutMs / 8))

    private fun answered(sidecar: InstanceDescription, answer: CallAnswer): CallEnd? =
        when (answer) {
            is CallAnswer.Executed -> {
                directory.failures.succeeded(sidecar.instance)
                CallEnd.Answered(answer)
            }
            is CallAnswer.Refused -> refused(sidecar, answer)
            is CallAnswer.Unknown -> {
                failed(sidecar, AttemptOutcome.UNKNOWN, answer.message)
                if (job.key == null) null else unknown(answer.message)
            }
            is CallAnswer.InProgress -> inProgress(sidecar)
        }

    private fun refused(sidecar: InstanceDescription, answer: CallAnswer.Refused): CallEnd? {
        lastRefusal = answer
        if (answer.code == ResultCode.DRAINING) {
            context.membership.reportDraining(sidecar.instance)
        }
        failed(sidecar, AttemptOutcome.NOT_RUN, "${answer.code}: ${answer.message}")
        return when (answer.code) {
            // The claim of the key excludes an earlier and a later run of this call.
            in CONCLUSIVE ->
                CallEnd.Failed(answer.code, answer.message, true, answer.retryAfterMs)
            in RETRYABLE -> null
            else -> conclude()
        }
    }

    // Only an own earlier attempt is worth waiting for; another caller with the key has its own.
    private fun inProgress(sidecar: InstanceDescription): CallEnd? {
        if (AttemptOutcome.UNKNOWN !in fates) {
            return CallEnd.Failed(
                ResultCode.IN_PROGRESS,
                "a call with the same idempotency key is in execution",
                false,
                IN_PROGRESS_POLL_MS
            )
        }
        lastCause = "the call is in execution at ${sidecar.instance.value}"
        while (remainingMs() > 0) {
            Thread.sleep(IN_PROGRESS_POLL_MS)
            val call = job.call.copy(remainingMs = remainingMs().coerceAtLeast(1))
            val answer = transport.call(sidecar, call, MIN_ATTEMPT_MS, fresh = true)
            if (answer !is CallReply.Answer) return null
            if (answer.answer !is CallAnswer.InProgress) return answered(sidecar, answer.answer)
        }
        return null
    }

    private fun failed(sidecar: InstanceDescription, fate: AttemptOutcome, cause: String) {
        fates += fate
        excluded += sidecar.instance
        lastFailedAtMs = context.clock.nowMs()
        lastCause = cause
        record(
            "dispatch_failed",
            "sidecar" to sidecar.instance.value,
            "fate" to fate,
            "cause" to cause
        )
    }

    // Once each sidecar has failed, a fresh connection to one of them may still work.
    private fun nextSidecar(): InstanceDescription? {
        val ranked = directory.ranked(job)
        val next = firstLeft(ranked) ?: firstLeft(directory.unreachable(job))
        if (next != null || AttemptOutcome.UNKNOWN !in fates) return next
        excluded.clear()
        return ranked.firstOrNull()
    }

    private fun firstLeft(sidecars: List<InstanceDescription>): InstanceDescription? =
        sidecars.firstOrNull { it.instance !in excluded }

    private fun conclude(): CallEnd {
        if (dispatchOutcome(fates, cancelled = false) == DispatchOutcome.NOT_RUN) return notRun()
        job.key?.let { key ->
            val cancellation = CallCancellation(job, context, directory, transport)
            return cancellation.run(key, fates) ?: unknown(lastCause)
        }
        val code =
            if (remainingMs() > 0) ResultCode.OUTCOME_UNKNOWN else ResultCode.DEADLINE_EXCEEDED
        return CallEnd.Failed(code, lastCause, notRun = false)
    }

    private fun notRun(): CallEnd {
        val refusal = lastRefusal
        return when {
            refusal != null && refusal.code.notRun ->
                CallEnd.Failed(refusal.code, refusal.message, true, refusal.retryAfterMs)
            remainingMs() <= 0 -> CallEnd.Failed(ResultCode.DEADLINE_UNREACHABLE, lastCause, true)
            else -> CallEnd.Failed(ResultCode.NO_BACKEND_SERVER, lastCause, true, RETRY_AFTER_MS)
        }
    }

    private fun unknown(message: String) =
        CallEnd.Failed(ResultCode.OUTCOME_UNKNOWN, message, notRun = false)

    private fun remainingMs() = job.deadlineAtMs - context.clock.nowMs()

    private fun record(name: String, vararg fields: Pair<String, Any?>) =
        context.eventLog.record(name, job.requestId, *fields)

    companion object {
        private const val MAX_ATTEMPTS = 6
        private const val MIN_ATTEMPT_MS = 1_000L

        // Time for an answer on its way from a sidecar.
        private const val MIN_ANSWER_MS = 100L

        // A restarted sidecar announces itself within this time.
        private const val MAX_SIDECAR_WAIT_MS = 2_000L
        private const val SIDECAR_POLL_MS = 50L

        // Pause before a sidecar that refused its connection is tried again.
        private const val ROUND_MS = 250L

        private const val IN_PROGRESS_POLL_MS = 200L
        private const val RETRY_AFTER_MS = 1_000L

        private val FULL = setOf(ResultCode.OVERLOADED, ResultCode.DEADLINE_UNREACHABLE)

        /** Refusals by the claim of the key, which no other sidecar answers otherwise. */
        val CONCLUSIVE =
            setOf(ResultCode.CANCELLED_BEFORE_RUN, ResultCode.IDEMPOTENCY_KEY_REUSED)
        private val RETRYABLE =
            FULL +
                setOf(
                    ResultCode.DRAINING,
                    ResultCode.NO_BACKEND_SERVER,
                    ResultCode.UNKNOWN_SERVICE
                )
    }
}
