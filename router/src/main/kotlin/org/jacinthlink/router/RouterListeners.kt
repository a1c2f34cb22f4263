package org.jacinthlink.router

import org.jacinthlink.decision.fleet.ClientLimits
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.EventLoop
import org.jacinthlink.transport.HeaderField
import org.jacinthlink.transport.HttpListener
import org.jacinthlink.transport.RequestMemory
import org.jacinthlink.transport.ServerHandler
import org.jacinthlink.transport.ServerLimits
import org.jacinthlink.transport.listen
import org.jacinthlink.transport.parseAddress
import org.jacinthlink.transport.requestMemory

/**
 * The listening sockets of a router: for client requests, readiness checks, snapshots of peers and
 * metrics.
 *
 * @param requests Handles the client requests.
 * @param snapshots Handles the requests of peers.
 * @param isReady Result of the readiness check.
 * @param metrics Text of the metrics.
 */
internal class RouterListeners(
    private val loop: EventLoop,
    private val settings: RouterSettings,
    private val limits: () -> ServerLimits,
    requests: ServerHandler,
    snapshots: ServerHandler,
    isReady: () -> Boolean,
    metrics: () -> String
) {
    /** Memory for the requests of all listeners. */
    val memory: RequestMemory = requestMemory()
    private val clients = open(checkedAddress(settings.clients), requests)
    private val readiness =
        open(checkedAddress(settings.readiness)) { _, exchange ->
            exchange.respond(if (isReady()) OK else UNAVAILABLE, emptyList(), ByteArray(0))
        }

    init {
        open(Address(settings.host, settings.peerPort), snapshots)
        open(Address(settings.host, settings.metricsPort)) { _, exchange ->
            val type = HeaderField("Content-Type", "text/plain; version=0.0.4")
            exchange.respond(OK, listOf(type), metrics().toByteArray())
        }
    }

    /** Address for client requests. */
    val clientsAddress: Address get() = Address(settings.host, clients.port)

    /** Address for readiness checks. */
    val readinessAddress: Address get() = Address(settings.host, readiness.port)

    /** Number of client requests that are being read or answered. */
    val activeRequestCount: Int get() = clients.activeRequestCount

    /** Lets each open client connection close after the next response that starts on it. */
    fun drain() = clients.drain()

    /** Closes the client connections on which no request is being read or answered. */
    fun closeIdle() = clients.closeIdle()

    private fun open(address: Address, handler: ServerHandler): HttpListener =
        listen(loop, address, limits, memory, handler)

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}

/** The limits in the form that a listener checks. */
internal fun ClientLimits.toServerLimits() =
    ServerLimits(maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs)

/** Address of [text], which the settings have been checked to contain. */
internal fun checkedAddress(text: String): Address =
    checkNotNull(parseAddress(text)) { "not IP:PORT: $text" }
