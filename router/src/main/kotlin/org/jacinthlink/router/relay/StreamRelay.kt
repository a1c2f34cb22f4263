package org.jacinthlink.router.relay

import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.retry.MoveReason
import org.jacinthlink.decision.retry.StreamAttempts
import org.jacinthlink.transport.CallFailure
import org.jacinthlink.transport.Timer

/**
 * Relays one streamed request over a path of engines, and continues over another path when that one
 * fails, falls silent or is about to end. An attempt that works is given up only once the next one
 * has answered.
 */
internal class StreamRelay(
    private val context: RelayContext,
    private val streams: StreamTable,
    private val request: RelayRequest
) {
    /** Memory that the request needs, in tokens. */
    val tokens: Long = request.expectedTokens
    private val streamLog = StreamLog(context, request)
    private val pathSelection = PathSelection(context, request, tokens)
    private val failures = AttemptFailures(context, request, pathSelection)
    private val handover = StreamHandover()
    private val attempts = StreamAttempts(request.route.isIdempotent)
    private val moves = StreamMoves(context, request, attempts, pathSelection)
    private val response = StreamResponse(request.exchange, request.info.lastEventId)
    private val ending = StreamEnding(request, response, ::finished)
    private val sender = StreamSender(context, request, attempts, response, streamLog)
    private val callbacks = AttemptCallbacks()
    private var deadline: Timer? = null
    private var retry: Timer? = null
    private var isDone = false

    /** All open attempts: one, or two while the stream moves to another path. */
    val openAttempts: List<StreamAttempt> get() = handover.attempts

    /** The open attempt that was started last, or null. */
    val newestAttempt: StreamAttempt? get() = handover.newest

    /** Expected time until the stream ends. */
    val remainingMs: Long get() = response.expectedRemainingMs(request.expectedEvents)

    /** True if another path takes the stream, which should move because of [reason]. */
    fun mayMove(reason: MoveReason, nowMs: Long): Boolean =
        !handover.isEmpty && moves.obstacle(handover.paths, reason, nowMs) == null

    /** Starts the relay. The request is sent when a path has capacity for it. */
    fun start() {
        streams.add(this)
        request.exchange.onClientClosed { clientClosed() }
        request.exchange.onWritable { openAttempts.forEach { it.call?.setReading(true) } }
        deadline =
            context.loop.schedule(request.endsAtMs - context.clockMs()) {
                if (!isDone) ending.expire()
            }
        val nowMs = context.clockMs()
        val harmful = context.contents.harmfulIn(request.content, nowMs)
        if (harmful == null) {
            context.admission.admit(this, request)
        } else {
            refused(HARMFUL_CONTENT, harmful.untilMs - nowMs)
        }
    }

    /** Sends the request for the first time. */
    fun admitted() {
        if (!isDone) startNextAttempt("first")
    }

    /** Refuses the request, which has not been sent yet. */
    fun refused(cause: String, retryAfterMs: Long) {
        if (!isDone) ending.giveUp(cause, retryAfterMs, mayHaveRun = false)
    }

    /**
     * Starts an attempt over another path because of [reason], if there is one that takes it. The
     * current attempt goes on until the new one has answered.
     */
    fun move(reason: MoveReason, nowMs: Long) {
        val newest = handover.newest ?: return
        val obstacle = moves.obstacle(handover.paths, reason, nowMs)
        if (obstacle != null) return streamLog.stays(newest, obstacle, nowMs)
        val path = pathSelection.successor(handover.paths, nowMs) ?: return
        if (!context.retryBudget.tryRetry(nowMs)) return
        // Replacing a successor that does not answer leaves the reason of the move unchanged.
        val moveReason = handover.reason ?: reason
        handover.successor?.let { abandon(it, reason.label) }
        if (reason == MoveReason.ServerSilent) failures.serverSilent(newest)
        val next = sender.attempt(path, reason.label, nowMs, callbacks)
        handover.beginMove(next, moveReason)
        sender.send(next, nowMs)
    }

    private fun startNextAttempt(cause: String) {
        val nowMs = context.clockMs()
        val harmful = context.contents.harmfulIn(request.content, nowMs)
        val path = pathSelection.next(nowMs, pathDemand())
        when {
            harmful != null -> giveUp(HARMFUL_CONTENT, harmful.untilMs - nowMs)
            path == null -> waitForPath("no path")
            attempts.count == 0 || context.retryBudget.tryRetry(nowMs) -> begin(path, cause, nowMs)
            attempts.hasBegun -> waitForPath(NO_BUDGET)
            else -> giveUp(NO_BUDGET)
        }
    }

    private fun begin(path: ServingPath, cause: String, nowMs: Long) {
        val next = sender.attempt(path, cause, nowMs, callbacks)
        handover.begin(next)
        sender.send(next, nowMs)
    }

    private fun pathDemand(): PathDemand =
        when {
            attempts.count == 0 -> PathDemand.FIRST_ATTEMPT
            attempts.awaitsResumption -> PathDemand.RESUMPTION
            else -> PathDemand.RETRY
        }

    /** A stream that has begun waits until its deadline, or until its caller abandons it. */
    private fun waitForPath(obstacle: String) {
        val waitedMs = context.clockMs() - request.startedAtMs
        val isFirst = attempts.count == 0
        val limitMs = with(request.route) { if (isFirst) targetLatencyMs / 2 else eventPatienceMs }
        if (!attempts.hasBegun && waitedMs > limitMs) {
            giveUp(obstacle)
        } else {
            retryLater(PATH_WAIT_MS, "path awaited")
        }
    }

    private fun headReceived(attempt: StreamAttempt) {
        val info = attempt.info
        context.notices.record(attempt.path.first, info)
        when {
            info.status in SUCCESSES && !info.isSigned -> fail(attempt, "unsigned answer")
            info.status == OK -> Unit
            info.hasNotRun -> notRun(attempt)
            response.hasSentHead || attempts.mayRetry || handover.successor != null ->
                fail(attempt, "status ${info.status}")
            else -> Unit
        }
    }

    private fun notRun(attempt: StreamAttempt) {
        val nowMs = context.clockMs()
        attempts.notRun()
        attempt.call?.cancel()
        ended(attempt)
        streamLog.notRun(attempt)
        context.paths.rejected(attempt.path.id, nowMs)
        failures.checkFaultyServer(attempt.info)
        if (!handover.isEmpty) return moves.ended(hasAnswered = false, nowMs)
        // A request that has had no event is not retried when the retry budget is low: a retry by
        // its caller does not use the budget, and interrupted streams need what is left of it.
        val mustSaveBudget =
            !response.hasSentHead && !context.retryBudget.allowsOptionalRetry(nowMs)
        if (attempts.isRejectedTooOften || mustSaveBudget) return giveUp("not run")
        // A path that was full a moment ago is probably still full, so an immediate retry
        // would only use up the retry budget.
        retryLater(NOT_RUN_PAUSE_MS, "not run")
    }

    private fun eventsReceived(attempt: StreamAttempt, events: List<StreamEvent>) {
        if (events.isEmpty()) return
        val nowMs = context.clockMs()
        val isSuccessor = attempt === handover.successor
        val mayMoveAgain = context.retryBudget.allowsRetry(nowMs)
        handover.answered(attempt, request.route.targetLatencyMs, mayMoveAgain)?.let { needless ->
            abandon(needless, "needless")
            moves.ended(hasAnswered = isSuccessor && needless !== attempt, nowMs)
            if (needless === attempt) return
        }
        attempt.received(events, nowMs)
        if (!attempt.hasEvents) {
            context.paths.answered(attempt.reservation, nowMs)
            context.contents.begun(request.content, nowMs)
        }
        attempt.hasEvents = true
        val isFirst = response.firstEventAtMs == null
        if (!response.forward(events, attempt.info.status, attempt.callerHeaders, nowMs)) return
        if (isFirst) context.metrics.firstEvent(nowMs - request.startedAtMs)
        attempts.progressed()
        // A caller that reads slowly slows down its engine, instead of filling this process.
        if (!request.exchange.isWritable) attempt.call?.setReading(false)
    }

    private fun completed(attempt: StreamAttempt) {
        ended(attempt)
        when {
            attempt.info.status != OK -> ending.forwardError(attempt)
            attempt.splitter.hasPartialEvent -> endedEarly(attempt, "partial event")
            response.lastEventId == null -> endedEarly(attempt, "no event")
            // The other attempt may have more events.
            !attempt.hasEvents && !handover.isEmpty -> endedEarly(attempt, "no event")
            else -> {
                response.end(attempt.info.status, attempt.callerHeaders)
                finished(OK, "complete")
            }
        }
    }

    /** Without a length, a lost connection looks like the end of a response. */
    private fun endedEarly(attempt: StreamAttempt, cause: String) {
        failures.callFailed(attempt, CallFailure.CONNECTION_LOST)
        fail(attempt, cause)
    }

    /** Ends [attempt], which has failed or whose answer cannot be used. */
    private fun fail(attempt: StreamAttempt, cause: String) {
        abandon(attempt, cause)
        continueAfter(attempt, cause)
    }

    private fun abandon(attempt: StreamAttempt, cause: String) {
        attempt.call?.cancel()
        ended(attempt)
        failures.attemptFailed(attempt)
        streamLog.failed(attempt, cause, response)
    }

    /** Continues with the other attempt, if one is open, or else with a new one. */
    private fun continueAfter(attempt: StreamAttempt, cause: String) {
        val isSuspect = !response.hasSentHead && failures.isSuspect(attempt)
        when {
            !handover.isEmpty -> moves.ended(hasAnswered = false, context.clockMs())
            !attempts.mayRetry -> giveUp(cause)
            isSuspect -> retryLater(LOSS_REPORT_MS, cause)
            else -> startNextAttempt(cause)
        }
    }

    private fun retryLater(delayMs: Long, cause: String) {
        retry = context.loop.schedule(delayMs) { if (!isDone) startNextAttempt(cause) }
    }

    private fun giveUp(cause: String, retryAfterMs: Long = RETRY_AFTER_MS) =
        ending.giveUp(cause, retryAfterMs, mayHaveRun = attempts.mayHaveRun)

    private fun clientClosed() {
        if (!isDone) finished(0, "client gone")
    }

    private fun finished(status: Int, cause: String) {
        isDone = true
        deadline?.cancel()
        retry?.cancel()
        openAttempts.forEach {
            it.call?.cancel()
            ended(it)
        }
        streams.remove(this)
        context.admission.remove(this, request.service)
        streamLog.ended(status, cause, attempts.count, response)
    }

    private fun ended(attempt: StreamAttempt) {
        if (!handover.remove(attempt)) return
        context.paths.release(attempt.reservation)
    }

    /** Callbacks of the attempts. The end of one that is no longer open is ignored. */
    private inner class AttemptCallbacks : StreamAttemptListener {
        override fun onHead(attempt: StreamAttempt) = headReceived(attempt)

        override fun onEvents(attempt: StreamAttempt, events: List<StreamEvent>) =
            eventsReceived(attempt, events)

        override fun onInvalidBody(attempt: StreamAttempt, cause: String) {
            if (attempt in handover) fail(attempt, cause)
        }

        override fun onComplete(attempt: StreamAttempt) {
            if (attempt in handover) completed(attempt)
        }

        override fun onFailure(attempt: StreamAttempt, failure: CallFailure) {
            if (attempt !in handover) return
            failures.callFailed(attempt, failure)
            if (attempt.wasUnsent) attempts.notRun()
            fail(attempt, failure.name.lowercase())
        }
    }

    private companion object {
        const val OK = 200
        val SUCCESSES = 200..299

        const val PATH_WAIT_MS = 50L
        const val NOT_RUN_PAUSE_MS = 80L

        /** Time for the reports of peers on lost servers. */
        const val LOSS_REPORT_MS = 100L
        const val HARMFUL_CONTENT = "harmful content"
        const val NO_BUDGET = "retry budget"
        const val RETRY_AFTER_MS = 500L
    }
}
