package org.jacinthlink.router.layout

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.LayerChange
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.platform.fleet.OrderAnswer
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.router.relay.FailureDetector
import org.jacinthlink.transport.EventLoop

/** Orders to engines, each followed until the engine reports that it is done. */
internal class LayerOrders(
    private val loop: EventLoop,
    private val engines: EngineClient,
    private val servers: ServerRegistry,
    private val faults: FailureDetector,
    private val log: DecisionLog,
    private val clockMs: () -> Long,
    private val onFenced: (instanceId: String) -> Unit
) {
    private val underWay = HashMap<String, Order>()

    /** Orders that each engine has accepted, so that one that arrives late is refused. */
    private val orderCounts = HashMap<String, Long>()

    /** What the orders under way change, by instance id. */
    val changes: Map<String, LayerChange> get() = underWay.mapValues { it.value.change }

    /** True while [instanceId] carries out an order. */
    fun isUnderWay(instanceId: String): Boolean = instanceId in underWay

    /** True while [instanceId] loads layers and gives none up. */
    fun isLoading(instanceId: String): Boolean = underWay[instanceId]?.givesUp == false

    /** Forgets orders to servers that are not among [instanceIds]. */
    fun retain(instanceIds: Set<String>) {
        underWay.keys.retainAll(instanceIds)
        orderCounts.keys.retainAll(instanceIds)
    }

    /** Forgets all orders. */
    fun clear() {
        underWay.clear()
        orderCounts.clear()
    }

    /** Lets [server] load layers until it holds [layers]. */
    fun load(server: BackendServer, layers: LayerRange, token: Long) {
        val order = Order(layers, server.layers, token, clockMs())
        underWay[server.instanceId] = order
        send(server, order)
    }

    /** Lets [server] give layers up, after all routers have stopped using them. */
    fun release(server: BackendServer, layers: LayerRange, token: Long) {
        val order = Order(layers, server.layers, token, clockMs())
        underWay[server.instanceId] = order
        loop.schedule(NEWS_MS) { if (underWay[server.instanceId] === order) send(server, order) }
    }

    /** Follows an order that another holder of the duty has given to [server]. */
    fun adopt(server: BackendServer, layers: LayerRange, token: Long) {
        val order = Order(layers, server.layers, token, clockMs())
        underWay[server.instanceId] = order
        log.event("order_adopted", "server" to server.instanceId, "wanted" to layers)
        followLater(server, order)
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
                OrderAnswer.Begun, OrderAnswer.AlreadyDone -> followLater(server, order)
                OrderAnswer.Fenced -> onFenced(server.instanceId)
                OrderAnswer.OtherInstance -> {
                    end(server, order)
                    servers.noteReplaced(server.instanceId)
                }
                else -> {
                    orderCounts.remove(server.instanceId)
                    loop.schedule(RETRY_MS) { end(server, order) }
                }
            }
        }
    }

    private fun followLater(server: BackendServer, order: Order) {
        loop.schedule(FOLLOW_MS) {
            if (underWay[server.instanceId] === order) follow(server, order)
        }
    }

    private fun follow(server: BackendServer, order: Order) {
        engines.report(server, REPORT_TIMEOUT_MS) { report ->
            if (report != null) orderCounts[server.instanceId] = report.orderCount
            when {
                underWay[server.instanceId] !== order -> Unit
                report == null -> {
                    faults.check(server, "silent after an order")
                    end(server, order)
                }
                isDone(report, order) -> {
                    servers.learnLayers(
                        server.instanceId,
                        report.bornAtMs,
                        report.layers,
                        clockMs()
                    )
                    end(server, order)
                }
                isLost(report, order) -> {
                    log.event(
                        "order_lost",
                        "server" to server.instanceId,
                        "wanted" to order.layers,
                        "layers" to (report.layers ?: "none")
                    )
                    end(server, order)
                }
                else -> followLater(server, order)
            }
        }
    }

    private fun isDone(report: EngineReport, order: Order): Boolean =
        !report.isChangingLayers && report.layers == order.layers

    /** True if the engine has had time to begin and is not at work. */
    private fun isLost(report: EngineReport, order: Order): Boolean {
        val ageMs = clockMs() - order.givenAtMs
        return !report.isChangingLayers && ageMs > BEGIN_LIMIT_MS || ageMs > ORDER_LIMIT_MS
    }

    private fun end(server: BackendServer, order: Order) {
        underWay.remove(server.instanceId, order)
    }

    private class Order(
        val layers: LayerRange,
        val held: LayerRange?,
        val token: Long,
        val givenAtMs: Long
    ) {
        val givesUp: Boolean get() = held != null && !layers.contains(held)
        private val kept: LayerRange? get() = held?.let { it.intersection(layers) ?: NOTHING }
        val change =
            LayerChange(kept.takeIf { givesUp }, maxOf(layers.size, held?.size ?: 0))
    }

    private companion object {
        val NOTHING = LayerRange(0, 0)

        /** Within this time the news of a release have reached the other routers. */
        const val NEWS_MS = 300L
        const val FOLLOW_MS = 120L
        const val REPORT_TIMEOUT_MS = 300L
        const val RETRY_MS = 400L

        /** A report is some hundred ms old, so it may come from before the order. */
        const val BEGIN_LIMIT_MS = 1_500L

        /** Loading all layers takes 14 s; an order that takes longer is given anew. */
        const val ORDER_LIMIT_MS = 20_000L
    }
}
