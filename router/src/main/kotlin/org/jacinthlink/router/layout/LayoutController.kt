package org.jacinthlink.router.layout

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.EngineProfile
import org.jacinthlink.decision.fleet.LayerChange
import org.jacinthlink.decision.fleet.ServerState
import org.jacinthlink.decision.fleet.ServiceDefinition
import org.jacinthlink.decision.layout.LayoutServer
import org.jacinthlink.decision.layout.LayoutStep
import org.jacinthlink.decision.layout.MigrationMode
import org.jacinthlink.decision.layout.Placement
import org.jacinthlink.decision.layout.ServerLayoutState
import org.jacinthlink.decision.layout.inheritedTargets
import org.jacinthlink.decision.layout.lacksLayers
import org.jacinthlink.decision.layout.nextSteps
import org.jacinthlink.decision.layout.planLayout
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.relay.EngineProbe
import org.jacinthlink.router.relay.FailureDetector
import org.jacinthlink.router.state.ConfigurationCache
import org.jacinthlink.router.state.ServerRegistry

/** Places each model's layers on engines, so that every layer is held, while this router leads. */
internal class LayoutController(
    private val configuration: ConfigurationCache,
    private val servers: ServerRegistry,
    private val failureDetector: FailureDetector,
    private val probe: EngineProbe,
    private val lease: LeadershipLease,
    private val orders: LayerOrders,
    private val usedTokens: (zone: String) -> Long,
    private val log: DecisionLog,
    private val clockMs: () -> Long
) {
    private val plans = HashMap<String, ServicePlan>()
    private var queriedForToken: Long? = null
    private var inherited = emptyMap<String, Placement>()

    /** Layer changes of the orders in progress, by instance id. */
    val changes: Map<String, LayerChange> get() = orders.changes

    /** Target layers of each server; the next leader continues with them. */
    val targets: Collection<Placement> get() = plans.values.flatMap { it.targets.values }

    /** Takes over the current leader's targets and drops this router's plans and orders. */
    fun adoptTargets(placements: Collection<Placement>) {
        plans.clear()
        orders.clear()
        inherited = inheritedTargets(inherited, placements)
    }

    /** Compares the held layers with the targets and sends orders; called periodically. */
    fun tick() {
        val token = lease.fencingToken
        if (token == null) return
        val services = configuration.current?.services?.values.orEmpty()
        if (token != queriedForToken) queryAll(services, token)
        services.forEach { service -> service.engine?.let { place(service.name, it, token) } }
        servers.replaceOrderedChanges(orders.changes)
    }

    /**
     * Queries all engines after this router has become the leader: the results of the previous
     * leader's last orders appear in the store only seconds later, and orders in progress continue.
     */
    private fun queryAll(services: Collection<ServiceDefinition>, token: Long) {
        queriedForToken = token
        services.filter { it.engine != null }
            .flatMap { servers.registered(it.name) }
            .forEach { server ->
                probe.requestReportWithLongTimeout(server) { report ->
                    report?.let { onReport(server, it, token) }
                }
            }
    }

    private fun onReport(server: BackendServer, report: EngineReport, token: Long) {
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
        val modes = plan.migrationModes(states)
        nextSteps(states, engine.layerMb, engine.loadsAtOnce, modes::getValue).forEach { step ->
            val server = ready.first { it.instanceId == step.instanceId }
            when (step) {
                is LayoutStep.Load -> orders.load(server, step.layers, token)
                is LayoutStep.Release -> orders.release(server, step.layers, token)
            }
        }
    }

    private fun BackendServer.isUsable(engine: EngineProfile): Boolean =
        !failureDetector.isFailed(address) && accelerator in engine.accelerators

    private fun BackendServer.toState(
        engine: EngineProfile,
        plan: ServicePlan
    ): ServerLayoutState? {
        val target = plan.targets[instanceId].takeIf { state == ServerState.READY }
        val group = target?.group ?: plan.groupByZone[zone] ?: return null
        val memoryMb = engine.accelerators.getValue(accelerator.orEmpty()).memoryMb
        val isBusy = orders.isInProgress(instanceId)
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

    /** Target layers of the servers of a service. */
    private inner class ServicePlan(previous: Map<String, Placement>) {
        private var members = emptySet<String>()
        private var changedAtMs = clockMs()
        private var isPlanned = false
        private val incompleteSinceMs = HashMap<Int, Long>()

        var targets = previous
            private set

        /** Group of the servers in each zone. */
        val groupByZone: Map<String, Int>
            get() = targets.values.mapNotNull { target ->
                servers.byId(target.instanceId)?.let { it.zone to target.group }
            }.toMap()

        /** Mode in which each group currently migrates to its targets. */
        fun migrationModes(states: List<ServerLayoutState>): Map<Int, MigrationMode> {
            val groups = states.groupBy { it.group }
            val incomplete = groups.filterValues { it.lacksLayers() }.keys
            incompleteSinceMs.keys.retainAll(incomplete)
            incomplete.forEach { incompleteSinceMs.putIfAbsent(it, clockMs()) }
            return groups.keys.associateWith { group ->
                when {
                    group !in incomplete ||
                        incomplete.size == groups.size &&
                        !holdNoLayers(states) ->
                        MigrationMode.STEPWISE
                    isIdle(group) -> MigrationMode.TOGETHER
                    else -> MigrationMode.WAIT
                }
            }
        }

        private fun holdNoLayers(states: List<ServerLayoutState>): Boolean = states.all {
            it.held == null
        }

        /** True if a group serves no requests, or its requests have had time to move elsewhere. */
        private fun isIdle(group: Int): Boolean {
            val zones = groupByZone.filterValues { it == group }.keys
            val incompleteMs = clockMs() - (incompleteSinceMs[group] ?: clockMs())
            return zones.all { usedTokens(it) == 0L } || incompleteMs > REROUTE_TIMEOUT_MS
        }

        /** Plans again after servers have joined or left, once the set of servers is stable. */
        fun refresh(engine: EngineProfile, ready: List<BackendServer>, nowMs: Long) {
            val seen = ready.map { "${it.instanceId}@${it.bornAtMs}" }.toSet()
            if (seen != members) {
                // A new leader waits for the engines' reports on the orders of its predecessor.
                changedAtMs = if (members.isEmpty()) nowMs + TAKEOVER_DELAY_MS else nowMs
                isPlanned = false
                members = seen
            }
            val holdNoLayers = ready.all { it.layers == null }
            val settleMs = if (holdNoLayers) EMPTY_FLEET_SETTLE_MS else SETTLE_MS
            if (isPlanned || nowMs - changedAtMs < settleMs) return
            isPlanned = true
            val previous = targets.filterKeys { servers.byId(it)?.layers != null }
            val inputs = ready.map {
                val memoryMb = engine.accelerators.getValue(it.accelerator.orEmpty()).memoryMb
                LayoutServer(
                    it.instanceId,
                    it.zone,
                    memoryMb,
                    previous[it.instanceId]?.layers ?: it.layers
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
        /**
         * Servers register within a few seconds of the fleet's start. A server that registers after
         * the plan causes others to move.
         */
        const val EMPTY_FLEET_SETTLE_MS = 1_500L

        /** A server that is unresponsive for a shorter time causes no new plan. */
        const val SETTLE_MS = 200L

        /**
         * Additional delay of a leader's first plan. Engines answer a query within a few ms, but
         * the leader's process may have just started.
         */
        const val TAKEOVER_DELAY_MS = 200L

        /** Routers move their streams from a broken path to other paths within this time. */
        const val REROUTE_TIMEOUT_MS = 1_200L
    }
}
