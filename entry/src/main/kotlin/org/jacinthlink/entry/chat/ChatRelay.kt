package org.jacinthlink.entry.chat

import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.StreamEvent
import org.jacinthlink.decision.dispatch.AttemptOutcome
import org.jacinthlink.decision.quarantine.RunMode
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.entry.EntryContext

/**
 * Relays one chat request to heads until its answer is complete, resuming it on another head when
 * one fails, or beside one that falls silent. All state is guarded by the monitor of the relay.
 */
internal class ChatRelay(
    private val job: ChatJob,
    private val parts: ChatParts,
    private val responder: ChatResponder,
    private val onDone: () -> Unit
) : ChatAttempt.Listener {
    private val context: EntryContext = parts.context
    private val recorder = ChatRecorder(context, job)
    private val tokens = ArrayList<String>()
    private val ends = ArrayList<AttemptEnd>()
    private val search = HeadSearch(parts.heads, job.chat.model)
    private val handover = ChatHandover()
    private val silence = SilenceWatch()
    private val progress = ChatProgress(job)
    private val permit = ChatPermit(job, parts)
    private var attemptCount = 0
    private var done = false

    @Synchronized
    fun start() {
        responder.onDisconnect(::callerGone)
        dispatch()
    }

    /** Looks for a head if none was left, or for another one beside a silent one. */
    @Synchronized
    fun tick(nowMs: Long) {
        if (done) return
        val current = handover.current
        if (current == null) {
            if (search.isWaiting || permit.isWaiting) dispatch()
            return
        }
        val reportedAtMs = parts.heads.loads[current.head.instance].reportedAtMs
        when (val step = silence.decide(handover, reportedAtMs, nowMs)) {
            SilenceStep.None -> Unit
            is SilenceStep.TryAnother -> {
                if (step.isNew) {
                    parts.heads.suspect(current.head)
                    parts.heads.failures.failed(current.head.instance, nowMs)
                }
                if (!tryAnother(nowMs)) endIfOver(nowMs)
            }
            SilenceStep.ConnectionLost ->
                when {
                    tryAnother(nowMs) -> Unit
                    parts.retries.withdraw(nowMs) -> broken(current, silent(current), isPaid = true)
                    else -> endIfOver(nowMs)
                }
        }
    }

    private fun silent(attempt: ChatAttempt): AttemptEnd {
        val silentMs = now() - attempt.lastLineAtMs
        return AttemptEnd(AttemptOutcome.UNKNOWN, "silent for $silentMs ms")
    }

    // Opens an attempt beside the silent ones, in place of an earlier successor. Returns false if
    // none may be opened now.
    private fun tryAnother(nowMs: Long): Boolean {
        val isolated =
            permit.isIsolated(nowMs)?.takeIf { attemptCount < RetryRules.MAX_ATTEMPTS }
                ?: return false
        val head =
            search.nextBeside(handover.heads, nowMs)?.takeIf { parts.retries.withdraw(nowMs) }
                ?: return false
        handover.successor?.let { onBroken(it, silent(it)) }
        if (!done) open(head, isolated)
        return true
    }

    private fun endIfOver(nowMs: Long) {
        val silentSinceMs = handover.attempts.maxOf { it.lastLineAtMs }
        if (!progress.isOver(silentSinceMs, nowMs)) return
        handover.attempts.forEach { ends += silent(it) }
        fail(if (progress.wasAccepted) failure() else tooLate())
    }

    private fun tooLate() = failure().tooLate(job.caller.workClass.targetMs)

    @Synchronized
    override fun onEvent(attempt: ChatAttempt, event: StreamEvent) {
        if (done || attempt !in handover) return
        when (event) {
            is StreamEvent.Accepted -> {
                progress.accepted(now())
                parts.heads.loads.reported(attempt.head.instance, event.load, now())
            }
            is StreamEvent.Heartbeat -> {
                parts.heads.loads.reported(attempt.head.instance, event.load, now())
                responder.idle()
            }
            is StreamEvent.Token -> token(attempt, event)
            is StreamEvent.End -> end(attempt, event)
            is StreamEvent.Refused -> refused(attempt, event)
        }
    }

    @Synchronized
    override fun onBroken(attempt: ChatAttempt, end: AttemptEnd) = broken(attempt, end)

    private fun broken(attempt: ChatAttempt, end: AttemptEnd, isPaid: Boolean = false) {
        if (done || attempt !in handover) return
        if (end.fate == AttemptOutcome.NOT_RUN && end.refusal == null) {
            context.membership.reportUnreachable(attempt.head.instance)
        }
        leave(attempt)
        attempt.call?.cancel()
        if (RetryRules.isFaultOfHead(end)) parts.heads.failures.failed(attempt.head.instance, now())
        search.failed(attempt.head.instance, now())
        recorder.attemptFailed(attempt, end)
        // A refusal says nothing about the attempt that goes on.
        if (handover.current == null || end.fate != AttemptOutcome.NOT_RUN) ends += end
        when {
            handover.current != null -> Unit
            isRetried(end, isPaid) -> dispatch()
            else -> fail(failure())
        }
        if (end.fate != AttemptOutcome.NOT_RUN && end.refusal == null) cancel(attempt)
    }

    // A head cancels all attempts of a request, so a new one at the same head must not be hit.
    private fun cancel(attempt: ChatAttempt) {
        if (attempt.head.instance !in handover.heads) parts.cancel(attempt, job.requestId)
    }

    private fun delivered(attempt: ChatAttempt) {
        val needless = handover.delivered(attempt) ?: return
        parts.heads.loads.finished(needless.head.instance)
        val cause = "attempt ${attempt.number} delivered first"
        val end = AttemptEnd(AttemptOutcome.UNKNOWN, cause)
        ends += end
        recorder.attemptFailed(needless, end)
        cancel(needless)
    }

    private fun token(attempt: ChatAttempt, event: StreamEvent.Token) {
        if (event.index < tokens.size) return
        if (event.index > tokens.size) {
            val cause = "token ${event.index} came before token ${tokens.size}"
            return onBroken(attempt, AttemptEnd(AttemptOutcome.RAN, cause))
        }
        delivered(attempt)
        val nowMs = now()
        if (tokens.isEmpty()) {
            parts.crashes.begun(job.chat, nowMs)
            recorder.firstToken(nowMs - job.receivedAtMs)
        } else {
            recorder.nextToken(nowMs - progress.lastTokenAtMs)
        }
        progress.token(nowMs)
        tokens += event.text
        responder.token(event.text)
    }

    private fun end(attempt: ChatAttempt, event: StreamEvent.End) {
        if (event.tokenCount != tokens.size) {
            val cause = "the end states ${event.tokenCount} tokens, ${tokens.size} arrived"
            return onBroken(attempt, AttemptEnd(AttemptOutcome.RAN, cause))
        }
        delivered(attempt)
        leave(attempt)
        parts.heads.failures.succeeded(attempt.head.instance)
        if (attempt.isolated) parts.crashes.cleared(job.chat.fingerprint, now())
        parts.permits.answered(job.chat.fingerprint)
        responder.end(event.reason, tokens.size)
        finish(null)
    }

    private fun refused(attempt: ChatAttempt, event: StreamEvent.Refused) {
        val fate = if (event.notRun) AttemptOutcome.NOT_RUN else AttemptOutcome.RAN
        if (event.code == ResultCode.DRAINING) {
            context.membership.reportDraining(attempt.head.instance)
        }
        if (!event.backendServerCrashed) {
            return onBroken(attempt, AttemptEnd(fate, event.message, event))
        }
        permit.crashed(attempt, event, tokens.isNotEmpty(), now())
        if (permit.mode(now()) == RunMode.REFUSED) {
            ends += AttemptEnd(fate, event.message, event)
            leave(attempt)
            quarantine()
        } else {
            onBroken(attempt, AttemptEnd(fate, event.message, event))
        }
    }

    private fun quarantine() {
        val fingerprint = job.chat.fingerprint
        parts.crashes.quarantine(fingerprint, job.requestId, now()) {
            synchronized(this) {
                if (!done) fail(quarantined())
            }
        }
    }

    private fun quarantined(): ChatFailure = failure().quarantined(job.chat.fingerprint)

    /** How the request would fail if it ended now. */
    private fun failure(): ChatFailure = RetryRules.failure(ends, tokens.isNotEmpty())

    private fun isRetried(end: AttemptEnd, isPaid: Boolean): Boolean =
        if (progress.wasAccepted && end.fate == AttemptOutcome.NOT_RUN) {
            RetryRules.isRetryable(end) && progress.mayWait(now())
        } else {
            RetryRules.mayFollow(ends, progress.wasAccepted) &&
                (isPaid || !RetryRules.isCharged(end) || parts.retries.withdraw(now()))
        }

    private fun dispatch() {
        if (progress.remainingMs(now()) <= 0) return fail(tooLate())
        if (permit.mode(now()) == RunMode.REFUSED) return fail(quarantined())
        val isolated = permit.isIsolated(now()) ?: return permit.ask(::onPermit)
        val head = search.next(now()) ?: return waitForHead()
        open(head, isolated)
    }

    private fun open(head: FlowStage, isolated: Boolean) {
        val next = ChatAttempt(attemptCount++, head, isolated, context.clock::nowMs, this)
        handover.add(next)
        parts.heads.loads.sent(head.instance)
        recorder.headChosen(next, tokens.size)
        next.call = parts.open(next, job, tokens.toList(), progress.remainingMs(now()))
    }

    @Synchronized
    private fun onPermit(mode: RunMode) {
        permit.answered(mode)
        when {
            done -> Unit
            mode == RunMode.REFUSED -> quarantine()
            mode == RunMode.WAITING -> waitForPermit()
            else -> dispatch()
        }
    }

    private fun waitForPermit() {
        if (progress.wasAccepted && !progress.mayWait(now())) {
            fail(failure())
        }
    }

    private fun waitForHead() {
        val isOver =
            if (progress.wasAccepted) !progress.mayWait(now()) else search.isOver(now())
        if (RetryRules.isFull(ends) || isOver) {
            fail(failure())
        }
    }

    @Synchronized
    private fun callerGone() {
        if (done) return
        done = true
        giveUpAll()
        parts.permits.ended(job.chat.fingerprint, job.requestId)
        recorder.callerGone(tokens.size, attemptCount)
        onDone()
    }

    private fun giveUpAll() =
        handover.attempts.forEach {
            leave(it)
            parts.cancel(it, job.requestId)
        }

    private fun leave(attempt: ChatAttempt) {
        handover.remove(attempt)
        parts.heads.loads.finished(attempt.head.instance)
    }

    private fun fail(failure: ChatFailure) {
        responder.fail(failure)
        finish(failure)
    }

    private fun finish(failure: ChatFailure?) {
        done = true
        giveUpAll()
        parts.permits.ended(job.chat.fingerprint, job.requestId)
        recorder.ended(failure, tokens.size, attemptCount, now())
        onDone()
    }

    private fun now() = context.clock.nowMs()
}
