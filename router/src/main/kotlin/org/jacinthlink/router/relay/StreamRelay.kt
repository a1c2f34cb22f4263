package org.jacinthlink.router.relay

import org.jacinthlink.decision.admission.WaitingRequest
import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.retry.StreamAttempts
import org.jacinthlink.transport.CallFailure
import org.jacinthlink.transport.Timer

/**
 * Relays one streamed request over a path of engines, and continues over another path when that one
 * fails.
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
    private val failures = AttemptFailures(context, request)
    private var attempt: StreamAttempt? = null
    private val attempts = StreamAttempts(request.route.isIdempotent)
    private val moves = StreamMoves(context, request, attempts, pathSelection)
    private val response = StreamResponse(request.exchange, request.info.lastEventId)
    private val ending = StreamEnding(request, response, ::finished)
    private var deadline: Timer? = null
    private var retry: Timer? = null
    private var isDone = false

    /** Path of the current attempt, or null. */
    val path: ServingPath? get() = attempt?.path

    /**
     * Time of the last event from the current path. Before the first one, it is the start of the
     * attempt, or of the request if there is no attempt.
     */
    val lastActivityAtMs: Long get() = attempt?.lastActivityAtMs ?: request.startedAtMs

    /** True once the current path has delivered an event. */
    val hasReceivedEvents: Boolean get() = attempt?.hasEvents == true

    /** Start of the current attempt while it waits for its first event, otherwise null. */
    val firstEventPendingSinceMs: Long? get() = attempt?.takeIf { !it.hasEvents }?.startedAtMs

    /** Expected time until the stream ends. */
    val remainingMs: Long get() = response.expectedRemainingMs(request.expectedEvents)

    /** True if the stream may leave its path, which works, for another one that has capacity. */
    fun mayMove(nowMs: Long): Boolean = attempt?.let { moves.mayMove(it.path, nowMs) } == true

    /** Starts the relay. The request is sent when a path has capacity for it. */
    fun start() {
        streams.add(this)
        request.exchange.onClientClosed { clientClosed() }
        request.exchange.onWritable { attempt?.call?.setReading(true) }
        deadline =
            context.loop.schedule(request.endsAtMs - context.clockMs()) {
                if (!isDone) ending.expire()
            }
        val nowMs = context.clockMs()
        val harmful = context.contents.harmfulIn(request.content, nowMs)
        if (harmful == null) {
            context.admission.admit(this, request.service)
        } else {
            refused(HARMFUL_CONTENT, harmful.untilMs - nowMs)
        }
    }

    /** This stream as a member of an admission queue. */
    fun toWaitingRequest(): WaitingRequest<StreamRelay> =
        with(request) {
            WaitingRequest(this@StreamRelay, priority, tokens, startedAtMs, route.targetLatencyMs)
        }

    /** Sends the request for the first time. */
    fun admitted() {
        if (!isDone) startNextAttempt("first")
    }

    /** Refuses the request, which has not been sent yet. */
    fun refused(cause: String, retryAfterMs: Long) {
        if (!isDone) ending.giveUp(cause, retryAfterMs, mayHaveRun = false)
    }

    /** True if [matches] holds for the address of a server on the current path. */
    fun passesThrough(matches: (address: String) -> Boolean): Boolean =
        attempt?.path?.parts?.any { matches(it.server.address) } == true

    /** Leaves the current path, which is unresponsive, if another one takes the stream at once. */
    fun leaveIfOtherPath(cause: String, nowMs: Long) {
        val current = attempt ?: return
        val obstacle = moves.obstacle(current.path, nowMs)
        if (obstacle == null) leavePath(cause) else streamLog.stays(current, obstacle, nowMs)
    }

    /** Ends the current attempt as failed, and continues over another path if possible. */
    fun leavePath(cause: String) {
        val current = attempt ?: return
        current.call?.cancel()
        ended(current)
        attemptFailed(current, cause)
    }

    private fun startNextAttempt(cause: String) {
        val nowMs = context.clockMs()
        val harmful = context.contents.harmfulIn(request.content, nowMs)
        val path = pathSelection.next(nowMs, pathDemand())
        when {
            harmful != null -> giveUp(HARMFUL_CONTENT, harmful.untilMs - nowMs)
            path == null -> waitForPath("no path")
            attempts.count == 0 || context.retryBudget.tryRetry(nowMs) -> send(path, cause, nowMs)
            attempts.awaitsResumption -> waitForPath(NO_BUDGET)
            else -> giveUp(NO_BUDGET)
        }
    }

    private fun pathDemand(): PathDemand =
        when {
            attempts.count == 0 -> PathDemand.FIRST_ATTEMPT
            attempts.awaitsResumption -> PathDemand.RESUMPTION
            else -> PathDemand.RETRY
        }

    private fun waitForPath(obstacle: String) {
        val nowMs = context.clockMs()
        val sinceLastEventMs = nowMs - (response.lastEventAtMs ?: request.startedAtMs)
        val isFirst = attempts.count == 0
        val limitMs = with(request.route) { if (isFirst) targetLatencyMs / 2 else eventPatienceMs }
        if (sinceLastEventMs > limitMs) {
            giveUp(obstacle)
        } else {
            retryLater(PATH_WAIT_MS, "path awaited")
        }
    }

    private fun send(path: ServingPath, cause: String, nowMs: Long) {
        if (attempts.count == 0) context.retryBudget.onFirstAttempt(nowMs)
        attempts.sent()
        streamLog.sent(path, cause, attempts.count, response, nowMs)
        val next =
            StreamAttempt(context.paths.reserve(path, tokens, nowMs), nowMs, AttemptCallbacks())
        attempt = next
        val usesFreshConnection = !request.route.isIdempotent
        val httpRequest =
            request.httpRequest(path.first, path, response.lastEventId, nowMs, usesFreshConnection)
        next.call = context.http.send(httpRequest, next)
        context.notices.throttle.recordSent(path.first.start, nowMs)
    }

    private fun headReceived(current: StreamAttempt) {
        val info = current.info
        context.notices.record(current.path.first, info)
        when {
            info.status in SUCCESSES && !info.isSigned -> leavePath("unsigned answer")
            info.status == OK -> Unit
            info.hasNotRun -> notRun(current)
            response.hasSentHead || attempts.mayRetry -> leavePath("status ${info.status}")
            else -> Unit
        }
    }

    private fun notRun(current: StreamAttempt) {
        attempts.notRun()
        current.call?.cancel()
        ended(current)
        streamLog.notRun(current)
        context.paths.rejected(current.path.id, context.clockMs())
        failures.checkFaultyServer(current.info)
        // A request that has had no event is not retried when the retry budget is low: a retry by
        // its caller does not use the budget, and interrupted streams need what is left of it.
        val mustSaveBudget =
            !response.hasSentHead && !context.retryBudget.allowsOptionalRetry(context.clockMs())
        if (attempts.isRejectedTooOften || mustSaveBudget) return giveUp("not run")
        // A path that was full a moment ago is probably still full, so an immediate retry
        // would only use up the retry budget.
        retryLater(NOT_RUN_PAUSE_MS, "not run")
    }

    private fun eventsReceived(current: StreamAttempt, events: List<StreamEvent>) {
        val nowMs = context.clockMs()
        val isFirst = response.firstEventAtMs == null
        if (!response.forward(events, current.info.status, current.callerHeaders, nowMs)) return
        if (isFirst) context.metrics.firstEvent(nowMs - request.startedAtMs)
        current.lastActivityAtMs = nowMs
        attempts.progressed()
        if (!current.hasEvents) {
            context.paths.answered(current.reservation)
            context.contents.begun(request.content, nowMs)
        }
        current.hasEvents = true
        // A caller that reads slowly slows down its engine, instead of filling this process.
        if (!request.exchange.isWritable) current.call?.setReading(false)
    }

    private fun completed(current: StreamAttempt) {
        ended(current)
        when {
            current.info.status != OK -> ending.forwardError(current)
            current.splitter.hasPartialEvent -> endedEarly(current, "partial event")
            response.lastEventId == null -> endedEarly(current, "no event")
            else -> {
                response.end(current.info.status, current.callerHeaders)
                finished(OK, "complete")
            }
        }
    }

    /** Without a length, a lost connection looks like the end of a response. */
    private fun endedEarly(current: StreamAttempt, cause: String) {
        failures.callFailed(current, CallFailure.CONNECTION_LOST)
        attemptFailed(current, cause)
    }

    private fun attemptFailed(current: StreamAttempt, cause: String) {
        if (!current.wasUnsent) {
            pathSelection.recordFailure(current)
            failures.attemptFailed(current)
        }
        streamLog.failed(current, cause, response)
        val isSuspect = !response.hasSentHead && failures.isSuspect(current)
        when {
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
        attempt?.let {
            it.call?.cancel()
            ended(it)
        }
        streams.remove(this)
        context.admission.remove(this, request.service)
        streamLog.ended(status, cause, attempts.count, response)
    }

    private fun ended(current: StreamAttempt) {
        if (attempt !== current) return
        attempt = null
        context.paths.release(current.reservation)
        context.admission.onFreed(request.service, tokens)
    }

    /** Callbacks of the current attempt. The end of a previous attempt is ignored. */
    private inner class AttemptCallbacks : StreamAttemptListener {
        override fun onHead(attempt: StreamAttempt) = headReceived(attempt)

        override fun onEvents(attempt: StreamAttempt, events: List<StreamEvent>) =
            eventsReceived(attempt, events)

        override fun onInvalidBody(attempt: StreamAttempt, cause: String) {
            if (this@StreamRelay.attempt === attempt) leavePath(cause)
        }

        override fun onComplete(attempt: StreamAttempt) {
            if (this@StreamRelay.attempt === attempt) completed(attempt)
        }

        override fun onFailure(attempt: StreamAttempt, failure: CallFailure) {
            if (this@StreamRelay.attempt !== attempt) return
            ended(attempt)
            failures.callFailed(attempt, failure)
            if (attempt.wasUnsent) attempts.notRun()
            attemptFailed(attempt, failure.name.lowercase())
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
