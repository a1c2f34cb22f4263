package org.jacinthlink.router.layout

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.EngineProfile
import org.jacinthlink.decision.fleet.LayerChange
import org.jacinthlink.decision.fleet.ServerState
import org.jacinthlink.decision.fleet.ServiceDefinition
import org.jacinthlink.decision.layout.MigrationMode
import org.jacinthlink.decision.layout.LayoutServer
import org.jacinthlink.decision.layout.ServerLayoutState
import org.jacinthlink.decision.layout.LayoutStep
import org.jacinthlink.decision.layout.Placement
import org.jacinthlink.decision.layout.inheritedTargets
import org.jacinthlink.decision.layout.lacksLayers
import org.jacinthlink.decision.layout.nextSteps
import org.jacinthlink.decision.layout.planLayout
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.state.ConfigurationCache
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.router.relay.EngineProbe
import org.jacinthlink.router.relay.FailureDetector

/** Keeps every layer of each model held, while this router holds the duty. */
internal class LayoutController(
    private val configuration: ConfigurationCache,
    private val servers: ServerRegistry,
    private val faults: FailureDetector,
    private val probe: EngineProbe,
    private val lease: LeadershipLease,
    private val orders: LayerOrders,
    private val usedTokens: (zone: String) -> Long,
    private val log: DecisionLog,
    private val clockMs: () -> Long
) {
    private val plans = HashMap<String, ServicePlan>()
    private var askedForToken: Long? = null
    private var inherited = emptyMap<String, Placement>()

    /** Orders that are under way, by instance id. */
    val changes: Map<String, LayerChange> get() = orders.changes

    /** What each server is meant to hold, for a successor. */
    val targets: Collection<Placement> get() = plans.values.flatMap { it.targets.values }

    /** Takes the targets of another router that holds the duty, and forgets own orders. */
    fun follow(placements: Collection<Placement>) {
        plans.clear()
        orders.clear()
        inherited = inheritedTargets(inherited, placements)
    }

    /** Compares what is held with what should be held, and gives orders; called periodically. */
    fun tick() {
        val token = lease.fencingToken
        if (token == null) return
        val services = configuration.current?.services?.values.orEmpty()
        if (token != askedForToken) askAll(services, token)
        services.forEach { service -> service.engine?.let { place(service.name, it, token) } }
        servers.noteChanges(orders.changes)
    }

    /** The former holder's last orders show in the store seconds later, and go on. */
    private fun askAll(services: Collection<ServiceDefinition>, token: Long) {
        askedForToken = token
        services.filter { it.engine != null }
            .flatMap { servers.registered(it.name) }
            .forEach { server ->
                probe.requestReportWithLongTimeout(server) { report ->
                    report?.let { heard(server, it, token) }
                }
            }
    }

    private fun heard(server: BackendServer, report: EngineReport, token: Long) {
        servers.applyReport(server, report)
        val target = inherited[server.instanceId]
        if (report.isChangingLayers && target != null && lease.fencingToken == token) {
            orders.adopt(server, target.layers, token)
        }
    }

    private fun place(service: String, engine: EngineProfile, token: Long) {
        val nowMs = clockMs()
        val ready = servers.ready(service).filter { it.isUsable(engine) }
        val plan = plans.getOrPut(service) { ServicePlan(inherited) }
        orders.retain(servers.all.map { it.instanceId }.toSet())
        plan.refresh(engine, ready, nowMs)
        val states = servers.registered(service).filter { it.isUsable(engine) }
            .mapNotNull { it.toState(engine, plan) }
        val moves = plan.moves(states)
        nextSteps(states, engine.layerMb, engine.loadsAtOnce, moves::getValue).forEach { step ->
            val server = ready.first { it.instanceId == step.instanceId }
            when (step) {
                is LayoutStep.Load -> orders.load(server, step.layers, token)
                is LayoutStep.Release -> orders.release(server, step.layers, token)
            }
        }
    }

    private fun BackendServer.isUsable(engine: EngineProfile): Boolean =
        !faults.isFailed(address) && accelerator in engine.accelerators

    private fun BackendServer.toState(engine: EngineProfile, plan: ServicePlan): ServerLayoutState? {
        val target = plan.targets[instanceId].takeIf { state == ServerState.READY }
        val group = target?.group ?: plan.groupByZone[zone] ?: return null
        val memoryMb = engine.accelerators.getValue(accelerator.orEmpty()).memoryMb
        val isBusy = orders.isUnderWay(instanceId)
        val isLoading = orders.isLoading(instanceId)
        return ServerLayoutState(
            instanceId,
            memoryMb,
            layers,
            target?.layers,
            isBusy,
            isLoading,
            group
        )
    }

    /** What the servers of a service are meant to hold. */
    private inner class ServicePlan(former: Map<String, Placement>) {
        private var members = emptySet<String>()
        private var changedAtMs = clockMs()
        private var isPlanned = false
        private val brokenSinceMs = HashMap<Int, Long>()

        var targets = former
            private set

        /** Group of the servers of each zone. */
        val groupByZone: Map<String, Int>
            get() = targets.values.mapNotNull { target ->
                servers.byId(target.instanceId)?.let { it.zone to target.group }
            }.toMap()

        /** How each group moves now. */
        fun moves(states: List<ServerLayoutState>): Map<Int, MigrationMode> {
            val groups = states.groupBy { it.group }
            val broken = groups.filterValues { it.lacksLayers() }.keys
            brokenSinceMs.keys.retainAll(broken)
            broken.forEach { brokenSinceMs.putIfAbsent(it, clockMs()) }
            return groups.keys.associateWith { group ->
                when {
                    group !in broken || broken.size == groups.size && !isFresh(states) ->
                        MigrationMode.STEPWISE
                    isIdle(group) -> MigrationMode.TOGETHER
                    else -> MigrationMode.WAIT
                }
            }
        }

        private fun isFresh(states: List<ServerLayoutState>): Boolean = states.all { it.held == null }

        /** True if no requests pass through a group, or if they have had time to leave. */
        private fun isIdle(group: Int): Boolean {
            val zones = groupByZone.filterValues { it == group }.keys
            val brokenMs = clockMs() - (brokenSinceMs[group] ?: clockMs())
            return zones.all { usedTokens(it) == 0L } || brokenMs > LEAVE_MS
        }

        /** Plans anew when servers have come or gone, once that has lasted for a while. */
        fun refresh(engine: EngineProfile, ready: List<BackendServer>, nowMs: Long) {
            val seen = ready.map { "${it.instanceId}@${it.bornAtMs}" }.toSet()
            if (seen != members) {
                // A new holder first hears from the servers what its predecessor's orders did.
                changedAtMs = if (members.isEmpty()) nowMs + TAKE_OVER_MS else nowMs
                isPlanned = false
                members = seen
            }
            val isFresh = ready.all { it.layers == null }
            val settleMs = if (isFresh) FRESH_SETTLE_MS else SETTLE_MS
            if (isPlanned || nowMs - changedAtMs < settleMs) return
            isPlanned = true
            val former = targets.filterKeys { servers.byId(it)?.layers != null }
            val inputs = ready.map {
                val memoryMb = engine.accelerators.getValue(it.accelerator.orEmpty()).memoryMb
                LayoutServer(
                    it.instanceId,
                    it.zone,
                    memoryMb,
                    former[it.instanceId]?.layers ?: it.layers
                )
            }
            targets = planLayout(engine, inputs).associateBy { it.instanceId }
            log.event(
                "layout_planned",
                "servers" to ready.size,
                "moved" to targets.values.count { servers.byId(it.instanceId)?.layers != it.layers }
            )
        }
    }

    private companion object {
        /** Servers register within some seconds of a start; a later one would move others. */
        const val FRESH_SETTLE_MS = 1_500L

        /** A short silence of a server is no loss. */
        const val SETTLE_MS = 200L

        /** Servers answer a few ms after they are asked; a new holder may have just started. */
        const val TAKE_OVER_MS = 200L

        /** Routers move their streams away from a broken path within this time. */
        const val LEAVE_MS = 1_200L
    }
}
