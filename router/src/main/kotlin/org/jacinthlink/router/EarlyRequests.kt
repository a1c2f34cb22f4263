package org.jacinthlink.router

import org.jacinthlink.transport.EventLoop
import org.jacinthlink.transport.ServerExchange
import org.jacinthlink.transport.ServerHandler
import org.jacinthlink.transport.ServerRequest

/** Holds requests that arrive before a starting router serves. */
internal class EarlyRequests(
    private val loop: EventLoop,
    private val onExpired: (ServerRequest, ServerExchange) -> Unit
) {
    private val held = LinkedHashSet<EarlyRequest>()

    /** True if no request is held. */
    val isEmpty: Boolean get() = held.isEmpty()

    /** Holds [request] until [release], or until it expires after a short time. */
    fun hold(request: ServerRequest, exchange: ServerExchange) {
        val early = EarlyRequest(request, exchange)
        held.add(early)
        exchange.onClientClosed { held.remove(early) }
        loop.schedule(HOLD_MS) { if (held.remove(early)) onExpired(request, exchange) }
    }

    /**
     * Passes all held requests on to [handler], after clients that have given up meanwhile are
     * recognized.
     */
    fun release(handler: ServerHandler) {
        loop.executeAfterRead {
            val released = held.toList()
            held.clear()
            released.forEach { handler.handleGuarded(it.request, it.exchange) }
        }
    }

    private companion object {
        /** Longer than a start takes while the store is reachable. */
        const val HOLD_MS = 700L
    }
}

/** A request that waits until the router serves. */
private class EarlyRequest(val request: ServerRequest, val exchange: ServerExchange)
