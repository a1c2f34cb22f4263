package org.jacinthlink.router.layout

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.EngineProfile
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.decision.layout.LayoutServer
import org.jacinthlink.decision.layout.Placement
import org.jacinthlink.decision.layout.planLayout
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.platform.fleet.OrderAnswer
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.beliefs.ConfigurationBelief
import org.jacinthlink.router.beliefs.ServerDirectory
import org.jacinthlink.router.relay.FaultWatch
import org.jacinthlink.transport.EventLoop

/** Keeps every layer of each model held, while this router holds the duty. */
internal class LayoutDuty(
    private val loop: EventLoop,
    private val engines: EngineClient,
    private val configuration: ConfigurationBelief,
    private val servers: ServerDirectory,
    private val faults: FaultWatch,
    private val lease: DutyLease,
    private val log: DecisionLog,
    private val clockMs: () -> Long
) {
    private val ordered = HashMap<String, Order>()
    private var knownIds = emptySet<String>()
    private var knownSinceMs = 0L

    /** Compares what is held with what should be held, and gives orders; called periodically. */
    fun tick() {
        val nowMs = clockMs()
        val token = lease.fencingToken ?: return
        val services = configuration.current?.services?.values.orEmpty()
        services.forEach { service ->
            service.engine?.let { place(service.name, it, token, nowMs) }
        }
    }

    private fun place(service: String, engine: EngineProfile, token: Long, nowMs: Long) {
        val ready = servers.ready(service).filter { !faults.isFailed(it.address) }
        val ids = ready.map { it.instanceId }.toSet()
        if (ids != knownIds) {
            knownIds = ids
            knownSinceMs = nowMs
        }
        ordered.keys.retainAll(servers.all.map { it.instanceId }.toSet())
        val isFresh = ready.all { it.layers == null }
        // Servers register within some seconds of a common start; a later one would move others.
        if (isFresh && nowMs - knownSinceMs < SETTLE_MS) return
        val wishes = planLayout(engine, ready.mapNotNull { it.toLayoutServer(engine) })
        wishes.forEach { wish -> order(wish, ready.first { it.instanceId == wish.instanceId }, token, nowMs) }
    }

    private fun BackendServer.toLayoutServer(engine: EngineProfile): LayoutServer? {
        val memoryMb = engine.accelerators[accelerator]?.memoryMb ?: return null
        val pending = ordered[instanceId]?.takeIf { it.bornAtMs == bornAtMs }?.layers
        return LayoutServer(instanceId, zone, memoryMb, pending ?: layers)
    }

    private fun order(wish: Placement, server: BackendServer, token: Long, nowMs: Long) {
        ordered[server.instanceId] = Order(wish.layers, server.bornAtMs)
        engines.place(server, wish.layers, token, null) { answer ->
            log.event(
                "layers_ordered",
                "server" to server.instanceId,
                "address" to server.address,
                "held" to (server.layers ?: "none"),
                "wanted" to wish.layers,
                "token" to token,
                "answer" to answer
            )
            when (answer) {
                OrderAnswer.Begun -> {
                    noteGivenUp(server, wish.layers)
                    follow(server, wish.layers, nowMs)
                }
                OrderAnswer.AlreadyDone -> follow(server, wish.layers, nowMs)
                OrderAnswer.Fenced -> {
                    ordered.remove(server.instanceId)
                    lease.lose("fenced by ${server.instanceId}")
                }
                else -> retryLater(server)
            }
        }
    }

    /** Layers that are given up take no new requests from the start of the order. */
    private fun noteGivenUp(server: BackendServer, wanted: LayerRange) {
        val held = server.layers ?: return
        val kept = LayerRange(maxOf(held.from, wanted.from), minOf(held.to, wanted.to))
        servers.learnLayers(
            server.instanceId,
            server.bornAtMs,
            server.orderCount + 1,
            kept.takeIf { it.size > 0 }
        )
    }

    private fun follow(server: BackendServer, wanted: LayerRange, orderedAtMs: Long) {
        loop.schedule(FOLLOW_MS) {
            engines.report(server, REPORT_TIMEOUT_MS) { report ->
                if (report == null) {
                    faults.check(server, "silent after an order")
                    ordered.remove(server.instanceId)
                    return@report
                }
                servers.learnLayers(
                    server.instanceId,
                    report.bornAtMs,
                    report.orderCount,
                    report.layers
                )
                val isDone = !report.isChangingLayers && report.layers == wanted
                val isOverdue = clockMs() - orderedAtMs > ORDER_LIMIT_MS
                if (isDone || isOverdue) {
                    ordered.remove(server.instanceId)
                } else {
                    follow(server, wanted, orderedAtMs)
                }
            }
        }
    }

    private fun retryLater(server: BackendServer) {
        loop.schedule(RETRY_MS) { ordered.remove(server.instanceId) }
    }

    private class Order(val layers: LayerRange, val bornAtMs: Long)

    private companion object {
        const val SETTLE_MS = 1_500L
        const val FOLLOW_MS = 150L
        const val REPORT_TIMEOUT_MS = 300L
        const val RETRY_MS = 500L

        /** Loading all layers takes 14 s; an order that takes longer is given anew. */
        const val ORDER_LIMIT_MS = 20_000L
    }
}
