package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.retry.attemptBound
import org.jacinthlink.transport.CallFailure
import org.jacinthlink.transport.Timer

/**
 * Relays one streamed request over a path of engines, and continues over another path when that one
 * fails.
 */
internal class StreamRelay(
    private val context: RelayContext,
    private val streams: StreamBook,
    private val job: RelayRequest
) {
    /** Memory that the request needs, in tokens. */
    val tokens: Long = job.expectedTokens
    private val lines = StreamLog(context, job)
    private val bound = attemptBound(job.route.maxAttempts)
    private var send: StreamSend? = null
    private var runs = 0
    private var sends = 0
    private val answer = StreamAnswer(job.exchange, job.info.lastEventId)
    private var deadline: Timer? = null
    private var retry: Timer? = null
    private var isDone = false

    /** Path of the current attempt, or null. */
    val path: ServingPath? get() = send?.path

    /**
     * Time of the last event from the current path. Before the first one, it is the start of the
     * attempt, or of the request if there is no attempt.
     */
    val lastSignAtMs: Long get() = send?.lastSignAtMs ?: job.startedAtMs

    /** True once the current path has delivered an event. */
    val isFlowing: Boolean get() = send?.hasEvents == true

    /** Start of the current attempt while it waits for its first event, otherwise null. */
    val pendingSinceMs: Long? get() = send?.takeIf { !it.hasEvents }?.startedAtMs

    /** True if the stream may change to another path although its path works. */
    val mayMove: Boolean get() = send?.let { bound.allowsMoveFrom(it.path.first.address) } == true

    /** Starts the relay. The request is sent when a path has capacity for it. */
    fun start() {
        streams.add(this)
        job.exchange.onClientClosed { clientClosed() }
        deadline = context.loop.schedule(job.endsAtMs - context.clockMs()) { expire() }
        context.admission.admit(this, job.service)
    }

    /** Rank of the request; 0 is the most urgent. */
    val priority: Int get() = job.priority

    /** When the request arrived. */
    val arrivedAtMs: Long get() = job.startedAtMs

    /** Target for the time from the arrival to the first event. */
    val targetMs: Long get() = job.route.targetLatencyMs

    /** Sends the request for the first time. */
    fun admitted() {
        if (!isDone) sendNext("first")
    }

    /** Refuses the request, which has not been sent yet. */
    fun refused(cause: String, retryAfterMs: Long) {
        if (isDone) return
        job.refuse(UNAVAILABLE, retryAfterMs)
        finished(UNAVAILABLE, cause)
    }

    /** True if [isLeaving] holds for the address of a server on the current path. */
    fun passesThrough(isLeaving: (address: String) -> Boolean): Boolean =
        send?.path?.parts?.any { isLeaving(it.server.address) } == true

    /** Ends the current attempt as failed, and continues over another path if possible. */
    fun leavePath(cause: String) {
        val current = send ?: return
        current.call?.cancel()
        ended(current)
        sendFailed(current, cause)
    }

    private fun sendNext(cause: String) {
        val nowMs = context.clockMs()
        val failed = context.faults.failed
        val path =
            context.paths.choose(job.service, failed, tokens, nowMs, sends > 0) { mayUse(it) }
        when {
            path == null -> waitForPath()
            sends > 0 && !context.ledger.tryRepeat(nowMs) ->
                giveUp("retry budget")
            else -> send(path, cause, nowMs)
        }
    }

    private fun mayUse(path: ServingPath): Boolean =
        bound.allows(path.first.address) { context.servers.at(it) != null }

    private fun waitForPath() {
        val nowMs = context.clockMs()
        val silentMs = nowMs - (answer.lastEventAtMs ?: job.startedAtMs)
        val limitMs = if (sends == 0) job.route.targetLatencyMs / 2 else MAX_SILENCE_MS
        if (silentMs > limitMs) {
            giveUp("no path")
        } else {
            retry = context.loop.schedule(PATH_WAIT_MS) { if (!isDone) sendNext("path awaited") }
        }
    }

    private fun send(path: ServingPath, cause: String, nowMs: Long) {
        if (sends == 0) context.ledger.onFirstSend(nowMs)
        sends++
        runs++
        lines.sent(path, cause, sends, answer, nowMs)
        val next = StreamSend(context.paths.use(path, tokens, nowMs), nowMs, SendEvents())
        send = next
        val message = job.message(
            path.first,
            path,
            answer.lastEventId,
            nowMs,
            !job.route.isIdempotent
        )
        next.call = context.http.send(message, next)
    }

    private fun headCame(current: StreamSend) {
        val info = current.info
        when {
            info.requestId != null && info.requestId != job.id -> leavePath("other answer")
            info.status == OK && !info.isSigned -> leavePath("unsigned answer")
            info.status == OK -> Unit
            info.hasNotRun -> notRun(current)
            answer.hasHead || mayRepeat() -> leavePath("status ${info.status}")
            else -> Unit
        }
    }

    private fun notRun(current: StreamSend) {
        runs--
        current.call?.cancel()
        ended(current)
        lines.notRun(current)
        context.paths.rejected(current.path.id, context.clockMs())
        current.info.faultyServer?.let { address ->
            context.servers.at(address)?.let { named(it, current.info.status) }
        }
        // A retry by the caller does not use the retry budget. What is left of the budget is needed
        // by interrupted streams.
        val isDear = !answer.hasHead && !context.ledger.hasSpare(context.clockMs())
        if (sends >= MAX_SENDS || isDear) return giveUp("not run")
        // A path that was full a moment ago is still full, so an immediate retry would only use up
        // the retry budget.
        retry = context.loop.schedule(NOT_RUN_PAUSE_MS) { if (!isDone) sendNext("not run") }
    }

    private fun named(server: BackendServer, status: Int) {
        if (status == UNAVAILABLE) {
            context.faults.checkHealth(server, "turned away a request")
        } else {
            context.faults.check(server, "named by its path")
        }
    }

    private fun bodyCame(current: StreamSend, part: ByteArray) {
        val nowMs = context.clockMs()
        val isFirst = answer.firstEventAtMs == null
        val events = current.splitter.feed(part)
        if (!answer.forward(events, current.info.status, current.callerHeaders, nowMs)) return
        if (isFirst) context.metrics.firstEvent(nowMs - job.startedAtMs)
        current.lastSignAtMs = nowMs
        if (!current.hasEvents) context.paths.answered(current.use)
        current.hasEvents = true
    }

    private fun completed(current: StreamSend) {
        ended(current)
        when {
            current.info.status != OK -> passOn(current)
            current.splitter.hasPartialEvent -> sendFailed(current, "partial event")
            else -> {
                answer.end(current.info.status, current.callerHeaders)
                finished(OK, "complete")
            }
        }
    }

    private fun passOn(current: StreamSend) {
        job.exchange.respond(
            current.info.status,
            current.callerHeaders,
            current.errorBody.toByteArray()
        )
        finished(current.info.status, "status of the server")
    }

    private fun sendFailed(current: StreamSend, cause: String) {
        val first = current.path.first.address
        if (!current.wasUnsent) bound.ran(first, current.wasCut || context.faults.isSilent(first))
        lines.failed(current, cause, answer)
        if (mayRepeat()) sendNext(cause) else giveUp(cause)
    }

    private fun mayRepeat(): Boolean = job.route.isIdempotent && sends < MAX_SENDS

    private fun giveUp(cause: String) {
        when {
            answer.hasHead -> {
                job.exchange.abort()
                finished(0, cause)
            }
            runs == 0 -> {
                job.refuse(UNAVAILABLE, RETRY_AFTER_MS)
                finished(UNAVAILABLE, cause)
            }
            else -> {
                job.refuse(BAD_GATEWAY)
                finished(BAD_GATEWAY, cause)
            }
        }
    }

    private fun expire() {
        if (isDone) return
        if (answer.hasHead) job.exchange.abort() else job.refuse(GATEWAY_TIMEOUT)
        finished(if (answer.hasHead) 0 else GATEWAY_TIMEOUT, "deadline")
    }

    private fun clientClosed() {
        if (!isDone) finished(0, "client gone")
    }

    private fun finished(status: Int, cause: String) {
        isDone = true
        deadline?.cancel()
        retry?.cancel()
        send?.let {
            it.call?.cancel()
            ended(it)
        }
        streams.remove(this)
        context.admission.leave(this, job.service)
        lines.ended(status, cause, sends, answer)
    }

    private fun ended(current: StreamSend) {
        if (send !== current) return
        send = null
        context.paths.release(current.use)
        context.admission.onFreed(job.service, tokens)
    }

    /** Callbacks of the current attempt. The end of a previous attempt is ignored. */
    private inner class SendEvents : StreamSendListener {
        override fun onHead(send: StreamSend) = headCame(send)

        override fun onPart(send: StreamSend, part: ByteArray) = bodyCame(send, part)

        override fun onComplete(send: StreamSend) {
            if (this@StreamRelay.send === send) completed(send)
        }

        override fun onFailure(send: StreamSend, failure: CallFailure) {
            if (this@StreamRelay.send !== send) return
            ended(send)
            when (failure) {
                CallFailure.NOT_CONNECTED -> {
                    runs--
                    send.wasUnsent = true
                    context.faults.check(send.path.first, "not connected")
                }
                CallFailure.CONNECTION_LOST -> {
                    send.wasCut = true
                    context.faults.check(send.path.first, "connection lost")
                }
                CallFailure.KEPT_CONNECTION_CLOSED, CallFailure.MALFORMED_ANSWER -> Unit
            }
            sendFailed(send, failure.name.lowercase())
        }
    }

    private companion object {
        const val OK = 200
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
        const val MAX_SENDS = 6

        /** Callers abort a stream that has had no event for two seconds. */
        const val MAX_SILENCE_MS = 1_900L
        const val PATH_WAIT_MS = 50L
        const val NOT_RUN_PAUSE_MS = 80L
        const val RETRY_AFTER_MS = 500L
    }
}
