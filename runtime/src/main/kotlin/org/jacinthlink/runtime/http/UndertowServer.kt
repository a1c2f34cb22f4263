package org.jacinthlink.runtime.http

import io.undertow.Undertow
import io.undertow.UndertowOptions
import java.net.InetSocketAddress
import org.http4k.core.HttpHandler

/** Starts a server for [handler] on [host]:[port]; port 0 takes a free one. */
fun startHttpServer(
    host: String,
    port: Int,
    limits: ServerLimits,
    handler: HttpHandler
): HttpServer = startHttpServer(host, port, limits, { false }, handler)

/** Starts a server that keeps threads free for the paths that are [isControl]. */
internal fun startHttpServer(
    host: String,
    port: Int,
    limits: ServerLimits,
    isControl: (path: String) -> Boolean,
    handler: HttpHandler
): HttpServer {
    val lane = ControlLane(isControl)
    val undertow =
        Undertow.builder()
            .addHttpListener(port, host)
            .setIoThreads(limits.ioThreads)
            .setWorkerThreads(limits.workerThreads)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.requestTimeoutMs)
            .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_CONNECTION_TIMEOUT_MS)
            .setHandler(UndertowHandler(handler, limits, lane))
            .build()
    try {
        undertow.start()
    } catch (e: RuntimeException) {
        lane.stop()
        throw e
    }
    return UndertowServer(undertow, lane)
}

private const val IDLE_CONNECTION_TIMEOUT_MS = 60_000

private class UndertowServer(private val undertow: Undertow, private val lane: ControlLane) :
    HttpServer {
    override val port: Int =
        (undertow.listenerInfo.first().address as InetSocketAddress).port

    override val traffic: HttpTraffic
        get() =
            with(undertow.listenerInfo.first().connectorStatistics) {
                HttpTraffic(requestCount, bytesReceived, bytesSent)
            }

    override fun stop() {
        undertow.stop()
        lane.stop()
    }
}
