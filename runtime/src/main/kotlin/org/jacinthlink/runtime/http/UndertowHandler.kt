package org.jacinthlink.runtime.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.undertow.io.Receiver
import io.undertow.server.HttpServerExchange
import io.undertow.util.HeaderMap
import io.undertow.util.HttpString
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.jacinthlink.api.Headers
import org.jacinthlink.api.ResultCode
import org.xnio.channels.Channels

/** Runs an http4k handler on Undertow's workers; a [PushBody] continues without a thread. */
internal class UndertowHandler(
    private val handler: HttpHandler,
    private val limits: ServerLimits,
    private val controlLane: ControlLane
) : io.undertow.server.HttpHandler {
    private val openExchanges = AtomicInteger()

    override fun handleRequest(exchange: HttpServerExchange) {
        openExchanges.incrementAndGet()
        exchange.addExchangeCompleteListener { _, next ->
            openExchanges.decrementAndGet()
            next.proceed()
        }
        exchange.dispatch(
            controlLane.executorFor(exchange.requestPath),
            Runnable { readAndServe(exchange) }
        )
    }

    private fun readAndServe(exchange: HttpServerExchange) {
        try {
            serve(exchange, readBody(exchange))
        } catch (e: IOException) {
            serveReadFailure(exchange, e)
        }
    }

    // Read on the worker: with the asynchronous receiver, requests on a reused connection were lost
    // now and then under the load of 400 streams.
    private fun readBody(exchange: HttpServerExchange): ByteArray {
        val channel = exchange.requestChannel ?: return ByteArray(0)
        val body = ByteArrayOutputStream()
        val buffer = ByteBuffer.allocate(READ_BUFFER_BYTES)
        while (true) {
            val count =
                Channels.readBlocking(channel, buffer, READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            if (count < 0) break
            if (count == 0) throw IOException("the body did not arrive within $READ_TIMEOUT_MS ms")
            body.write(buffer.array(), 0, buffer.position())
            buffer.clear()
            if (body.size() > limits.maxBodyBytes) throw Receiver.RequestToLargeException()
        }
        return body.toByteArray()
    }

    private fun serveReadFailure(exchange: HttpServerExchange, cause: IOException) {
        if (cause is Receiver.RequestToLargeException) {
            exchange.isPersistent = false
            send(
                exchange,
                errorResponse(
                    ResultCode.BODY_TOO_LARGE,
                    "the body exceeds ${limits.maxBodyBytes} bytes"
                )
            )
        } else {
            exchange.endExchange()
        }
    }

    private fun serve(exchange: HttpServerExchange, body: ByteArray) {
        try {
            send(exchange, respond(exchange, body))
        } catch (e: Throwable) {
            logger.warn(e) { "event=response_failed" }
            exchange.endExchange()
        }
    }

    private fun send(exchange: HttpServerExchange, response: Response) {
        exchange.statusCode = response.status.code
        response.headers.forEach { (name, value) ->
            if (value != null) exchange.responseHeaders.add(HttpString(name), value)
        }
        repeatCallId(exchange)
        when (val body = response.body) {
            is PushBody -> body.onStart(UndertowPushSink(exchange))
            is DeferredBody -> body.onStart(sendOnce(exchange))
            else -> exchange.responseSender.send(body.payload.duplicate())
        }
    }

    private fun repeatCallId(exchange: HttpServerExchange) {
        val callId = exchange.requestHeaders.getFirst(CALL_ID) ?: return
        exchange.responseHeaders.put(CALL_ID, callId)
    }

    private fun sendOnce(exchange: HttpServerExchange): (Response) -> Unit {
        val sent = AtomicBoolean()
        return { later ->
            if (sent.compareAndSet(false, true)) {
                try {
                    send(exchange, later)
                } catch (e: Throwable) {
                    logger.warn(e) { "event=response_failed" }
                    exchange.endExchange()
                }
            }
        }
    }

    private fun respond(exchange: HttpServerExchange, body: ByteArray): Response =
        if (
            openExchanges.get() > limits.maxConnections &&
            controlLane.executorFor(exchange.requestPath) == null
        ) {
            errorResponse(ResultCode.OVERLOADED, "too many open requests")
        } else {
            handleSafely(exchange, body)
        }

    private fun handleSafely(exchange: HttpServerExchange, body: ByteArray): Response {
        val method =
            Method.entries.firstOrNull { it.name == exchange.requestMethod.toString() }
                ?: return errorResponse(
                    ResultCode.METHOD_NOT_ALLOWED,
                    "method ${exchange.requestMethod} is not supported"
                )
        return try {
            handler(toRequest(exchange, method, body))
        } catch (e: Throwable) {
            logger.error(e) { "event=handler_failed path=${exchange.requestPath}" }
            errorResponse(ResultCode.INTERNAL_ERROR, "internal error: ${e.javaClass.simpleName}")
        }
    }

    private fun toRequest(exchange: HttpServerExchange, method: Method, body: ByteArray): Request {
        val query = exchange.queryString.let { if (it.isEmpty()) "" else "?$it" }
        return Request(method, exchange.requestURI + query)
            .headers(exchange.requestHeaders.toHttp4k())
            .body(Body(ByteBuffer.wrap(body)))
    }

    private fun HeaderMap.toHttp4k(): List<Pair<String, String?>> =
        flatMap { values -> values.map { values.headerName.toString() to it } }

    private companion object {
        val logger = KotlinLogging.logger {}
        val CALL_ID = HttpString(Headers.CALL_ID)
        const val READ_BUFFER_BYTES = 16_384
        const val READ_TIMEOUT_MS = 10_000L
    }
}
