package org.jacinthlink.router.relay

import java.time.Instant
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.plain.AttemptEnd
import org.jacinthlink.platform.forward.ResponseInfo
import org.jacinthlink.platform.forward.clientHeaders
import org.jacinthlink.platform.forward.responseInfo
import org.jacinthlink.transport.CallFailure
import org.jacinthlink.transport.ClientCall
import org.jacinthlink.transport.ClientListener
import org.jacinthlink.transport.HeaderField
import org.jacinthlink.transport.Timer

/**
 * Relays one request to a plain service, which runs no model, and relays the complete response to
 * the caller. The first attempt waits until a server has a place; further ones do not, because the
 * caller has waited already.
 */
internal class PlainRelay(private val context: RelayContext, private val request: RelayRequest) {
    private val openAttempts = mutableListOf<Attempt>()
    private val tried = mutableSetOf<String>()

    /** Attempts that are running or may have run. */
    private var possibleRuns = 0
    private var attemptCount = 0
    private var deadline: Timer? = null
    private var hedge: Timer? = null
    private var isDone = false

    /** Error response of a server, which is forwarded if no retry gives a better response. */
    private var lastFailure: Attempt? = null

    /** Sends the request as soon as a server has a place for it. */
    fun start() {
        request.exchange.onClientClosed { clientClosed() }
        deadline = context.loop.schedule(request.endsAtMs - context.clockMs()) { expire() }
        context.plainAdmission.admit(this, request)
    }

    /** Sends the request, for which a server has a place. */
    fun admitted() {
        if (!isDone) startNextAttempt("first")
    }

    /** Refuses the request, which was not sent, because it would start too late. */
    fun refused(cause: String, retryAfterMs: Long) {
        if (!isDone) finish(UNAVAILABLE, retryAfterMs, cause)
    }

    private fun startNextAttempt(cause: String) {
        val nowMs = context.clockMs()
        val ready = context.loadBalancer.ready(request.service.name)
        val open = context.loadBalancer.usable(ready, nowMs)
        val server = context.loadBalancer.choose(open.filter { it.instanceId !in tried }, nowMs)
        when {
            server == null -> giveUpWithoutServer(ready, nowMs)
            attemptCount > 0 && !context.retryBudget.tryRetry(nowMs) ->
                giveUp("retry budget")
            else -> send(server, cause, nowMs)
        }
    }

    private fun giveUpWithoutServer(ready: List<BackendServer>, nowMs: Long) {
        val untried = ready.filter { it.instanceId !in tried }
        val throttledMs =
            untried.minOfOrNull { context.notices.throttle.remainingMs(it.start, nowMs) } ?: 0
        if (throttledMs > 0) giveUp("servers throttled", throttledMs) else giveUp("no server")
    }

    private fun send(server: BackendServer, cause: String, nowMs: Long) {
        if (attemptCount == 0) {
            context.retryBudget.onFirstAttempt(nowMs)
        } else {
            context.metrics.retried(cause)
        }
        attemptCount++
        possibleRuns++
        tried.add(server.instanceId)
        context.log.event(
            "sent",
            "request" to request.id,
            "route" to request.route.name,
            "server" to server.instanceId,
            "cause" to cause,
            "send" to attemptCount,
            "left_ms" to request.endsAtMs - nowMs,
            "configuration" to request.configurationVersion
        )
        val attempt = Attempt(server, nowMs)
        openAttempts.add(attempt)
        // A server may reset a kept-alive connection, and a request sent over it may have run. So a
        // request that may run only once gets a new connection.
        val httpRequest =
            request.httpRequest(server, null, null, nowMs, !request.route.isIdempotent)
        attempt.call = context.http.send(httpRequest, attempt)
        context.notices.throttle.recordSent(server.start, nowMs)
        context.loadBalancer.started(server)
        if (mayRetry()) hedge = context.loop.schedule(hedgeDelayMs()) { hedge() }
    }

    private fun hedgeDelayMs(): Long =
        (request.route.targetLatencyMs / HEDGE_DIVISOR).coerceAtLeast(20)

    private fun hedge() {
        if (!isDone && openAttempts.isNotEmpty() && mayRetry()) startNextAttempt("slow")
    }

    private fun mayRetry(): Boolean =
        request.route.isIdempotent && possibleRuns < request.route.maxAttempts

    private fun answered(attempt: Attempt) {
        val info = attempt.info
        end(attempt, attemptEnd(info, attempt.ageMs))
        when {
            isDone -> Unit
            info.hasNotRun -> notRun(attempt)
            !info.isSigned -> failed(attempt, "unsigned answer")
            info.status < SERVER_ERROR -> deliver(attempt)
            mayRetry() || openAttempts.isNotEmpty() -> {
                lastFailure = attempt
                failed(attempt, "status ${info.status}")
            }
            else -> deliver(attempt)
        }
    }

    private fun notRun(attempt: Attempt) {
        possibleRuns--
        context.log.event(
            "not_run",
            "request" to request.id,
            "server" to attempt.server.instanceId,
            "status" to attempt.info.status
        )
        if (openAttempts.isNotEmpty()) return
        if (attemptCount < MAX_ATTEMPTS) startNextAttempt("not run") else giveUp("not run")
    }

    private fun failed(attempt: Attempt, cause: String) {
        context.log.event(
            "send_failed",
            "request" to request.id,
            "server" to attempt.server.instanceId,
            "cause" to cause,
            "age_ms" to attempt.ageMs
        )
        when {
            openAttempts.isNotEmpty() -> Unit
            mayRetry() -> startNextAttempt("failed")
            request.route.isIdempotent -> finish(BAD_GATEWAY, null, "failed")
            else -> finish(BAD_GATEWAY, null, "outcome unknown")
        }
    }

    private fun notConnected(attempt: Attempt) {
        possibleRuns--
        context.log.event(
            "send_failed",
            "request" to request.id,
            "server" to attempt.server.instanceId,
            "cause" to "not connected"
        )
        if (openAttempts.isNotEmpty()) return
        if (attemptCount < MAX_ATTEMPTS) {
            startNextAttempt("not connected")
        } else {
            giveUp("not connected")
        }
    }

    private fun giveUp(cause: String, retryAfterMs: Long = RETRY_AFTER_MS) {
        if (openAttempts.isNotEmpty()) return
        if (possibleRuns == 0) {
            finish(UNAVAILABLE, retryAfterMs, cause)
        } else {
            finish(BAD_GATEWAY, null, cause)
        }
    }

    private fun deliver(attempt: Attempt) {
        close()
        context.metrics.ended("plain", attempt.info.status, "answered")
        context.metrics.answered(context.clockMs() - request.startedAtMs)
        context.log.event(
            "answered",
            "request" to request.id,
            "route" to request.route.name,
            "status" to attempt.info.status,
            "sends" to attemptCount,
            "ms" to context.clockMs() - request.startedAtMs
        )
        request.exchange.respond(
            attempt.info.status,
            clientHeaders(attempt.headers),
            attempt.body.toByteArray()
        )
    }

    private fun finish(status: Int, retryAfterMs: Long?, cause: String) {
        val failure = lastFailure
        if (status != UNAVAILABLE && failure != null) return deliver(failure)
        close()
        context.metrics.ended("plain", status, cause)
        context.log.event(
            "refused",
            "request" to request.id,
            "route" to request.route.name,
            "status" to status,
            "cause" to cause,
            "sends" to attemptCount,
            "ms" to context.clockMs() - request.startedAtMs
        )
        request.refuse(status, retryAfterMs)
    }

    private fun expire() {
        if (!isDone) finish(GATEWAY_TIMEOUT, null, "deadline")
    }

    private fun clientClosed() {
        if (isDone) return
        close()
        context.log.event("client_gone", "request" to request.id, "sends" to attemptCount)
    }

    private fun close() {
        isDone = true
        if (attemptCount == 0) context.plainAdmission.remove(this, request.service)
        deadline?.cancel()
        hedge?.cancel()
        openAttempts.toList().forEach {
            it.call?.cancel()
            end(it, AttemptEnd.Cancelled(it.ageMs))
        }
    }

    private fun end(attempt: Attempt, end: AttemptEnd) {
        if (!openAttempts.remove(attempt)) return
        attempt.body.release()
        context.plainAdmission.ended(request.service, attempt.server, end)
    }

    private inner class Attempt(val server: BackendServer, val startedAtMs: Long) : ClientListener {
        val ageMs: Long get() = context.clockMs() - startedAtMs
        var call: ClientCall? = null
        var headers = emptyList<HeaderField>()
        lateinit var info: ResponseInfo
        val body = context.http.responseMemory.buffer()

        override fun onHead(status: Int, headers: List<HeaderField>) {
            info = responseInfo(status, headers, Instant.now())
            this.headers = headers
            context.notices.record(server, info)
        }

        override fun onBody(part: ByteArray) {
            if (!body.append(part)) abandon("response too large")
        }

        /** Closes the connection, whose further bytes belong to no request, and fails. */
        private fun abandon(cause: String) {
            call?.cancel()
            end(this, AttemptEnd.Failed)
            if (!isDone) failed(this, cause)
        }

        override fun onComplete() = answered(this)

        override fun onFailure(failure: CallFailure) {
            end(this, AttemptEnd.Failed)
            if (isDone) return
            if (failure == CallFailure.NOT_CONNECTED) {
                notConnected(this)
            } else {
                failed(this, failure.name.lowercase())
            }
        }
    }

    private companion object {
        const val SERVER_ERROR = 500
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504

        /**
         * After this many attempts, including those that did not run, a request is not sent again
         * if a server has refused it or could not be reached.
         */
        const val MAX_ATTEMPTS = 4

        /** After half of the target latency, the request is also sent to another server. */
        const val HEDGE_DIVISOR = 2
        const val RETRY_AFTER_MS = 100L
    }
}
