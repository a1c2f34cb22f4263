package org.jacinthlink.entry.chat

import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.StreamEvent
import org.jacinthlink.decision.dispatch.AttemptOutcome
import org.jacinthlink.decision.quarantine.RunMode
import org.jacinthlink.entry.EntryContext

/**
 * Relays one chat request to heads until its answer is complete, resuming it on another head when
 * one fails. All state is guarded by the monitor of the relay.
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
    private var attempt: ChatAttempt? = null
    private var attemptCount = 0
    private var wasAccepted = false
    private var isolated = false
    private var hasCrashed = false
    private var permit: RunMode? = null
    private var isAskingPermit = false
    private var isWaitingForPermit = false
    private var lastTokenAtMs = 0L

    // Time of the first acceptance or of the latest token.
    private var lastProgressAtMs = 0L
    private var done = false

    @Synchronized
    fun start() {
        responder.onDisconnect(::callerGone)
        dispatch()
    }

    /** Abandons an attempt that has fallen silent, and looks for a head if none was left. */
    @Synchronized
    fun tick(nowMs: Long) {
        val current = attempt
        when {
            done -> Unit
            current == null -> if (search.isWaiting || isWaitingForPermit) dispatch()
            nowMs - current.lastLineAtMs > SILENCE_MS -> {
                parts.heads.suspect(current.head)
                onBroken(current, AttemptEnd(AttemptOutcome.UNKNOWN, "silent for $SILENCE_MS ms"))
            }
        }
    }

    @Synchronized
    override fun onEvent(attempt: ChatAttempt, event: StreamEvent) {
        if (done || attempt !== this.attempt) return
        when (event) {
            is StreamEvent.Accepted -> {
                if (!wasAccepted) lastProgressAtMs = now()
                wasAccepted = true
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
    override fun onBroken(attempt: ChatAttempt, end: AttemptEnd) {
        if (done || attempt !== this.attempt) return
        if (end.fate == AttemptOutcome.NOT_RUN && end.refusal == null) {
            context.membership.reportUnreachable(attempt.head.instance)
        }
        leave(attempt)
        attempt.call?.cancel()
        if (RetryRules.isFaultOfHead(end)) parts.heads.failures.failed(attempt.head.instance, now())
        ends += end
        search.failed(attempt.head.instance, now())
        recorder.attemptFailed(attempt, end)
        if (isRetried(end)) dispatch() else fail(failure())
        if (end.fate != AttemptOutcome.NOT_RUN && end.refusal == null) cancel(attempt)
    }

    // A head cancels all attempts of a request, so a new one at the same head must not be hit.
    private fun cancel(attempt: ChatAttempt) {
        if (this.attempt?.head?.instance != attempt.head.instance) {
            parts.cancel(attempt, job.requestId)
        }
    }

    private fun token(attempt: ChatAttempt, event: StreamEvent.Token) {
        if (event.index < tokens.size) return
        if (event.index > tokens.size) {
            val cause = "token ${event.index} came before token ${tokens.size}"
            return onBroken(attempt, AttemptEnd(AttemptOutcome.RAN, cause))
        }
        val nowMs = now()
        if (tokens.isEmpty()) {
            parts.crashes.begun(job.chat, nowMs)
            recorder.firstToken(nowMs - job.receivedAtMs)
        } else {
            recorder.nextToken(nowMs - lastTokenAtMs)
        }
        lastTokenAtMs = nowMs
        lastProgressAtMs = nowMs
        tokens += event.text
        responder.token(event.text)
    }

    private fun end(attempt: ChatAttempt, event: StreamEvent.End) {
        if (event.tokenCount != tokens.size) {
            val cause = "the end states ${event.tokenCount} tokens, ${tokens.size} arrived"
            return onBroken(attempt, AttemptEnd(AttemptOutcome.RAN, cause))
        }
        leave(attempt)
        parts.heads.failures.succeeded(attempt.head.instance)
        if (isolated) parts.crashes.cleared(job.chat.fingerprint, now())
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
        val suspectParts = if (tokens.isEmpty()) job.chat.parts else emptyList()
        val crash =
            SeenCrash(
                job.chat.fingerprint,
                isolated,
                crashId(attempt, event),
                parts = suspectParts
            )
        hasCrashed = true
        permit = null
        parts.crashes.crashed(crash, now())
        if (parts.crashes.mode(job.chat, now()) == RunMode.REFUSED) {
            ends += AttemptEnd(fate, event.message, event)
            leave(attempt)
            quarantine()
        } else {
            onBroken(attempt, AttemptEnd(fate, event.message, event))
        }
    }

    // Sidecars of earlier versions send no id.
    private fun crashId(attempt: ChatAttempt, event: StreamEvent.Refused) =
        event.crashId.ifEmpty { "${job.requestId.value}/${attempt.number}" }

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

    private fun isRetried(end: AttemptEnd): Boolean =
        if (wasAccepted && end.fate == AttemptOutcome.NOT_RUN) {
            RetryRules.isRetryable(end) && mayWaitForProgress()
        } else {
            RetryRules.mayFollow(ends, wasAccepted) &&
                (!RetryRules.isCharged(end) || parts.retries.withdraw(now()))
        }

    private fun mayWaitForProgress() = now() - lastProgressAtMs < MAX_RESUME_WAIT_MS

    private fun dispatch() {
        val remainingMs = remainingMs()
        if (remainingMs <= 0) return fail(failure().tooLate(job.caller.workClass.targetMs))
        val mode = parts.crashes.mode(job.chat, now())
        if (mode == RunMode.REFUSED) return fail(quarantined())
        val permitted = permit ?: return askPermit()
        val head = search.next(now()) ?: return waitForHead()
        isolated = hasCrashed || RunMode.ISOLATED in setOf(mode, permitted)
        val next = ChatAttempt(attemptCount++, head, context.clock::nowMs, this)
        attempt = next
        parts.heads.loads.sent(head.instance)
        recorder.headChosen(next, isolated, tokens.size)
        next.call = parts.open(next, job, tokens.toList(), remainingMs, isolated)
    }

    private fun askPermit() {
        if (isAskingPermit) return
        isAskingPermit = true
        isWaitingForPermit = false
        parts.permits.request(job.chat.fingerprint, job.requestId, ::onPermit)
    }

    @Synchronized
    private fun onPermit(mode: RunMode) {
        isAskingPermit = false
        when {
            done -> Unit
            mode == RunMode.REFUSED -> quarantine()
            mode == RunMode.WAITING -> waitForPermit()
            else -> {
                permit = mode
                dispatch()
            }
        }
    }

    private fun waitForPermit() {
        isWaitingForPermit = true
        if (wasAccepted && !mayWaitForProgress()) {
            fail(failure())
        }
    }

    private fun waitForHead() {
        val isOver =
            if (wasAccepted) {
                !mayWaitForProgress()
            } else {
                search.waitedMs(now()) >= MAX_HEAD_WAIT_MS
            }
        if (RetryRules.isFull(ends) || isOver) {
            fail(failure())
        }
    }

    // A request that a head had accepted is worth finishing late.
    private fun remainingMs(): Long {
        val remainingMs = job.receivedAtMs + job.caller.workClass.targetMs - now()
        return if (wasAccepted) maxOf(remainingMs, RESUME_TIME_MS) else remainingMs
    }

    @Synchronized
    private fun callerGone() {
        if (done) return
        attempt?.let {
            leave(it)
            parts.cancel(it, job.requestId)
        }
        done = true
        parts.permits.ended(job.chat.fingerprint, job.requestId)
        recorder.callerGone(tokens.size, attemptCount)
        onDone()
    }

    private fun leave(attempt: ChatAttempt) {
        this.attempt = null
        parts.heads.loads.finished(attempt.head.instance)
    }

    private fun fail(failure: ChatFailure) {
        responder.fail(failure)
        finish(failure)
    }

    private fun finish(failure: ChatFailure?) {
        done = true
        parts.permits.ended(job.chat.fingerprint, job.requestId)
        recorder.ended(failure, tokens.size, attemptCount, now())
        onDone()
    }

    private fun now() = context.clock.nowMs()

    private companion object {
        // Heads send a line at least each 250 ms.
        const val SILENCE_MS = 1_200L

        // The loss of a head is to be repaired within two seconds.
        const val RESUME_TIME_MS = 2_000L

        // A crashed backend server or a lost zone is back or replaced within this time.
        const val MAX_RESUME_WAIT_MS = 10_000L

        // A failed zone leaves the membership within this time, and other heads become known.
        const val MAX_HEAD_WAIT_MS = 2_000L
    }
}
