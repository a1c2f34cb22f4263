package org.jacinthlink.router.layout

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.LayerChange
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.platform.fleet.OrderAnswer
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.relay.FailureDetector
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.transport.EventLoop

/** Sends layer orders to engines and polls each engine until it reports that the order is done. */
internal class LayerOrders(
    private val loop: EventLoop,
    private val engines: EngineClient,
    private val servers: ServerRegistry,
    private val failureDetector: FailureDetector,
    private val log: DecisionLog,
    private val clockMs: () -> Long,
    private val onFenced: (instanceId: String) -> Unit
) {
    private val ordersInProgress = HashMap<String, Order>()

    /**
     * Number of orders that each engine had accepted at its last report. Each order carries this
     * number, and an engine refuses an order with an outdated number, so an order that arrives late
     * has no effect.
     */
    private val orderCounts = HashMap<String, Long>()

    /** Layer changes of the orders in progress, by instance id. */
    val changes: Map<String, LayerChange> get() = ordersInProgress.mapValues { it.value.change }

    /** True while [instanceId] has an order in progress. */
    fun isInProgress(instanceId: String): Boolean = instanceId in ordersInProgress

    /** True while [instanceId] loads layers and releases none. */
    fun isLoading(instanceId: String): Boolean =
        ordersInProgress[instanceId]?.releasesLayers == false

    /** Stops tracking orders to servers that are not among [instanceIds]. */
    fun retain(instanceIds: Set<String>) {
        ordersInProgress.keys.retainAll(instanceIds)
        orderCounts.keys.retainAll(instanceIds)
    }

    /** Stops tracking all orders. */
    fun clear() {
        ordersInProgress.clear()
        orderCounts.clear()
    }

    /** Orders [server] to load layers until it holds [layers]. */
    fun load(server: BackendServer, layers: LayerRange, token: Long) {
        val order = Order(layers, server.layers, token, clockMs())
        ordersInProgress[server.instanceId] = order
        send(server, order)
    }

    /**
     * Orders [server] to release all layers except [layers]. The order is sent after a delay in
     * which all routers stop using the layers to be released.
     */
    fun release(server: BackendServer, layers: LayerRange, token: Long) {
        val order = Order(layers, server.layers, token, clockMs())
        ordersInProgress[server.instanceId] = order
        loop.schedule(GOSSIP_DELAY_MS) {
            if (ordersInProgress[server.instanceId] === order) send(server, order)
        }
    }

    /** Tracks an order that a previous leader has sent to [server]. */
    fun adopt(server: BackendServer, layers: LayerRange, token: Long) {
        val order = Order(layers, server.layers, token, clockMs())
        ordersInProgress[server.instanceId] = order
        log.event("order_adopted", "server" to server.instanceId, "wanted" to layers)
        pollLater(server, order)
    }

    private fun send(server: BackendServer, order: Order) {
        engines.place(server, order.layers, order.token, orderCounts[server.instanceId]) { answer ->
            log.event(
                "layers_ordered",
                "server" to server.instanceId,
                "address" to server.address,
                "held" to (server.layers ?: "none"),
                "wanted" to order.layers,
                "token" to order.token,
                "answer" to answer
            )
            when (answer) {
                OrderAnswer.Begun, OrderAnswer.AlreadyDone -> pollLater(server, order)
                OrderAnswer.Fenced -> onFenced(server.instanceId)
                OrderAnswer.OtherInstance -> {
                    end(server, order)
                    servers.removeReplaced(server.instanceId)
                }
                else -> {
                    orderCounts.remove(server.instanceId)
                    loop.schedule(RETRY_MS) { end(server, order) }
                }
            }
        }
    }

    private fun pollLater(server: BackendServer, order: Order) {
        loop.schedule(POLL_INTERVAL_MS) {
            if (ordersInProgress[server.instanceId] === order) poll(server, order)
        }
    }

    private fun poll(server: BackendServer, order: Order) {
        engines.report(server, REPORT_TIMEOUT_MS) { report ->
            if (report != null) orderCounts[server.instanceId] = report.orderCount
            when {
                ordersInProgress[server.instanceId] !== order -> Unit
                report == null -> {
                    failureDetector.check(server, "silent after an order")
                    end(server, order)
                }
                isDone(report, order) -> {
                    servers.recordReportedLayers(
                        server.instanceId,
                        report.bornAtMs,
                        report.layers,
                        clockMs()
                    )
                    end(server, order)
                }
                hasTimedOut(report, order) -> {
                    log.event(
                        "order_lost",
                        "server" to server.instanceId,
                        "wanted" to order.layers,
                        "layers" to (report.layers ?: "none")
                    )
                    end(server, order)
                }
                else -> pollLater(server, order)
            }
        }
    }

    private fun isDone(report: EngineReport, order: Order): Boolean =
        !report.isChangingLayers && report.layers == order.layers

    /** True if the engine has not started the order in time, or takes too long to finish it. */
    private fun hasTimedOut(report: EngineReport, order: Order): Boolean {
        val ageMs = clockMs() - order.createdAtMs
        return !report.isChangingLayers && ageMs > START_TIMEOUT_MS || ageMs > COMPLETION_TIMEOUT_MS
    }

    private fun end(server: BackendServer, order: Order) {
        ordersInProgress.remove(server.instanceId, order)
    }

    private class Order(
        val layers: LayerRange,
        val held: LayerRange?,
        val token: Long,
        val createdAtMs: Long
    ) {
        val releasesLayers: Boolean get() = held != null && !layers.contains(held)
        private val kept: LayerRange? get() = held?.let { it.intersection(layers) ?: EMPTY_RANGE }
        val change =
            LayerChange(kept.takeIf { releasesLayers }, maxOf(layers.size, held?.size ?: 0))
    }

    private companion object {
        val EMPTY_RANGE = LayerRange(0, 0)

        /** Gossip about a release reaches the other routers within this time. */
        const val GOSSIP_DELAY_MS = 300L
        const val POLL_INTERVAL_MS = 120L
        const val REPORT_TIMEOUT_MS = 300L
        const val RETRY_MS = 400L

        /**
         * An engine that reports no change of layers after this time has not started the order. A
         * report is a few hundred ms old, so an earlier one may describe the time before the order.
         */
        const val START_TIMEOUT_MS = 1_500L

        /** Loading all layers takes 14 s; an order that exceeds this limit is sent again. */
        const val COMPLETION_TIMEOUT_MS = 20_000L
    }
}
