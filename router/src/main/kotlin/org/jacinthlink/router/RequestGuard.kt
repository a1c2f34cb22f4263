package org.jacinthlink.router

import org.jacinthlink.decision.admission.OverdueRequest
import org.jacinthlink.decision.admission.requestWatch
import org.jacinthlink.platform.forward.RequestInfo
import org.jacinthlink.platform.forward.refusalHeaders
import org.jacinthlink.transport.EventLoop
import org.jacinthlink.transport.ServerExchange

/**
 * Gives every request that this router has read an outcome, if whoever held the request has dropped
 * it: answers it with status 504, or cuts its response if that has begun.
 */
internal class RequestGuard(
    loop: EventLoop,
    private val log: DecisionLog,
    private val metrics: RouterMetrics,
    private val clockMs: () -> Long
) {
    private val watch = requestWatch<ServerExchange> { it.isOpen }

    init {
        // Each in a task of its own, because the holder of one may fail.
        loop.repeat(SWEEP_PERIOD_MS) {
            watch.takeOverdue(clockMs()).forEach { loop.execute { answer(it) } }
        }
    }

    /** Age of the oldest request without an outcome; 0 if there is none. */
    val oldestAgeMs: Long get() = watch.oldestAgeMs(clockMs())

    /** Expects an outcome of a request that has been read, and soon if it takes no route. */
    fun read(info: RequestInfo, exchange: ServerExchange, nowMs: Long) =
        watch.begin(exchange, info.requestId, nowMs, nowMs + UNROUTED_MS)

    /** Expects the outcome of a request that takes [route] until [endsAtMs]. */
    fun routed(exchange: ServerExchange, route: String, endsAtMs: Long) =
        watch.routed(exchange, route, endsAtMs)

    private fun answer(overdue: OverdueRequest<ServerExchange>) {
        if (!overdue.item.isOpen) return
        metrics.unanswered()
        log.event(
            "unanswered",
            "request" to overdue.id,
            "route" to overdue.route,
            "age_ms" to overdue.ageMs
        )
        overdue.item.withdraw(GATEWAY_TIMEOUT, refusalHeaders(overdue.id, null))
    }

    private companion object {
        const val SWEEP_PERIOD_MS = 50L

        /** Longer than a request is held by a router that is starting. */
        const val UNROUTED_MS = 1_500L
        const val GATEWAY_TIMEOUT = 504
    }
}
