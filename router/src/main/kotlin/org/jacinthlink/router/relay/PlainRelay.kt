package org.jacinthlink.router.relay

import java.io.ByteArrayOutputStream
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.platform.forward.AnswerInfo
import org.jacinthlink.platform.forward.answerInfo
import org.jacinthlink.platform.forward.clientHeaders
import org.jacinthlink.transport.CallFailure
import org.jacinthlink.transport.ClientCall
import org.jacinthlink.transport.ClientListener
import org.jacinthlink.transport.HeaderField
import org.jacinthlink.transport.Timer

/** Relays one request to a plain service, and the complete response to the caller. */
internal class PlainRelay(
    private val context: RelayContext,
    private val balance: PlainBalance,
    private val job: RelayRequest
) {
    private val open = mutableListOf<Send>()
    private val tried = mutableSetOf<String>()
    private var runs = 0
    private var sends = 0
    private var deadline: Timer? = null
    private var hedge: Timer? = null
    private var isDone = false

    /** Error response of a server, which is forwarded if no retry gives a better response. */
    private var lastFailure: Send? = null

    /** Sends the request. */
    fun start() {
        job.exchange.onClientClosed { clientClosed() }
        deadline = context.loop.schedule(job.endsAtMs - context.clockMs()) { expire() }
        sendNext("first")
    }

    private fun sendNext(cause: String) {
        val nowMs = context.clockMs()
        val ready = context.servers.ready(job.service.name)
        val server = balance.choose(ready.filter { it.instanceId !in tried }, nowMs)
        when {
            server == null -> giveUp("no server")
            sends > 0 && !context.ledger.tryRepeat(nowMs) ->
                giveUp("retry budget")
            else -> send(server, cause, nowMs)
        }
    }

    private fun send(server: BackendServer, cause: String, nowMs: Long) {
        if (sends == 0) context.ledger.onFirstSend(nowMs) else context.metrics.repeated(cause)
        sends++
        runs++
        tried.add(server.instanceId)
        context.log.event(
            "sent",
            "request" to job.id,
            "route" to job.route.name,
            "server" to server.instanceId,
            "cause" to cause,
            "send" to sends,
            "left_ms" to job.endsAtMs - nowMs,
            "configuration" to job.configurationVersion
        )
        val send = Send(server, nowMs)
        open.add(send)
        // A server may reset a kept-alive connection, and a request sent over it may have run. So a
        // request that may run only once gets a new connection.
        val message = job.message(server, null, null, nowMs, !job.route.isIdempotent)
        send.call = context.http.send(message, send)
        balance.started(server)
        if (mayRepeat()) hedge = context.loop.schedule(hedgeDelayMs()) { hedge() }
    }

    private fun hedgeDelayMs(): Long = (job.route.targetLatencyMs / HEDGE_DIVISOR).coerceAtLeast(20)

    private fun hedge() {
        if (!isDone && open.isNotEmpty() && mayRepeat()) sendNext("slow")
    }

    private fun mayRepeat(): Boolean = job.route.isIdempotent && runs < job.route.maxAttempts

    private fun answered(send: Send) {
        end(send, hasFailed = send.info.status >= SERVER_ERROR)
        val info = send.info
        when {
            isDone -> Unit
            info.requestId != null && info.requestId != job.id -> failed(send, "other answer")
            info.hasNotRun -> notRun(send)
            !info.isSigned -> failed(send, "unsigned answer")
            info.status >= SERVER_ERROR && mayRepeat() -> {
                lastFailure = send
                failed(send, "status ${info.status}")
            }
            info.status >= SERVER_ERROR && open.isNotEmpty() -> Unit
            else -> deliver(send)
        }
    }

    private fun notRun(send: Send) {
        runs--
        context.log.event(
            "not_run",
            "request" to job.id,
            "server" to send.server.instanceId,
            "status" to send.info.status
        )
        if (open.isNotEmpty()) return
        if (sends < MAX_SENDS) sendNext("not run") else giveUp("not run")
    }

    private fun failed(send: Send, cause: String) {
        context.log.event(
            "send_failed",
            "request" to job.id,
            "server" to send.server.instanceId,
            "cause" to cause,
            "age_ms" to context.clockMs() - send.startedAtMs
        )
        when {
            open.isNotEmpty() -> Unit
            mayRepeat() -> sendNext("failed")
            job.route.isIdempotent -> finish(BAD_GATEWAY, null, "failed")
            else -> finish(BAD_GATEWAY, null, "outcome unknown")
        }
    }

    private fun notConnected(send: Send) {
        runs--
        context.log.event(
            "send_failed",
            "request" to job.id,
            "server" to send.server.instanceId,
            "cause" to "not connected"
        )
        if (open.isNotEmpty()) return
        if (sends < MAX_SENDS) sendNext("not connected") else giveUp("not connected")
    }

    private fun giveUp(cause: String) {
        if (open.isNotEmpty()) return
        if (runs == 0) {
            finish(UNAVAILABLE, RETRY_AFTER_MS, cause)
        } else {
            finish(BAD_GATEWAY, null, cause)
        }
    }

    private fun deliver(send: Send) {
        close()
        context.metrics.ended("plain", send.info.status, "answered")
        context.metrics.answered(context.clockMs() - job.startedAtMs)
        context.log.event(
            "answered",
            "request" to job.id,
            "route" to job.route.name,
            "status" to send.info.status,
            "sends" to sends,
            "ms" to context.clockMs() - job.startedAtMs
        )
        job.exchange.respond(
            send.info.status,
            clientHeaders(send.headers),
            send.body.toByteArray()
        )
    }

    private fun finish(status: Int, retryAfterMs: Long?, cause: String) {
        val failure = lastFailure
        if (status == BAD_GATEWAY && failure != null) return deliver(failure)
        close()
        context.metrics.ended("plain", status, cause)
        context.log.event(
            "refused",
            "request" to job.id,
            "route" to job.route.name,
            "status" to status,
            "cause" to cause,
            "sends" to sends,
            "ms" to context.clockMs() - job.startedAtMs
        )
        job.refuse(status, retryAfterMs)
    }

    private fun expire() {
        if (!isDone) finish(GATEWAY_TIMEOUT, null, "deadline")
    }

    private fun clientClosed() {
        if (isDone) return
        close()
        context.log.event("client_gone", "request" to job.id, "sends" to sends)
    }

    private fun close() {
        isDone = true
        deadline?.cancel()
        hedge?.cancel()
        open.toList().forEach {
            it.call?.cancel()
            end(it, hasFailed = false)
        }
    }

    private fun end(send: Send, hasFailed: Boolean) {
        if (!open.remove(send)) return
        balance.ended(
            send.server,
            context.clockMs() - send.startedAtMs,
            hasFailed,
            context.clockMs()
        )
    }

    private inner class Send(val server: BackendServer, val startedAtMs: Long) : ClientListener {
        var call: ClientCall? = null
        var headers = emptyList<HeaderField>()
        lateinit var info: AnswerInfo
        val body = ByteArrayOutputStream()

        override fun onHead(status: Int, headers: List<HeaderField>) {
            info = answerInfo(status, headers)
            this.headers = headers
        }

        override fun onBody(part: ByteArray) {
            body.write(part)
        }

        override fun onComplete() = answered(this)

        override fun onFailure(failure: CallFailure) {
            end(this, hasFailed = true)
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

        /** Limit for the attempts of one request, including those that were not run. */
        const val MAX_SENDS = 4

        /** The request is also sent to a second server after half of the target latency. */
        const val HEDGE_DIVISOR = 2
        const val RETRY_AFTER_MS = 100L
    }
}
