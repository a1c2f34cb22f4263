package org.jacinthlink.router

import org.jacinthlink.transport.EventLoop
import org.jacinthlink.transport.ServerExchange
import org.jacinthlink.transport.ServerRequest

/** Requests that arrive before a starting router has read its configuration. */
internal class EarlyRequests(
    private val loop: EventLoop,
    private val onExpired: (ServerRequest, ServerExchange) -> Unit
) {
    private val held = LinkedHashSet<EarlyRequest>()

    /** Keeps [request] until the configuration is there, for a short time. */
    fun hold(request: ServerRequest, exchange: ServerExchange) {
        val early = EarlyRequest(request, exchange)
        held.add(early)
        exchange.onClientClosed { held.remove(early) }
        loop.schedule(HOLD_MS) { if (held.remove(early)) onExpired(request, exchange) }
    }

    /** Takes out all held requests. */
    fun release(): List<EarlyRequest> = held.toList().also { held.clear() }

    private companion object {
        /** A start with the store at hand takes less. */
        const val HOLD_MS = 700L
    }
}

/** A request that waits for the first configuration. */
internal class EarlyRequest(val request: ServerRequest, val exchange: ServerExchange)
