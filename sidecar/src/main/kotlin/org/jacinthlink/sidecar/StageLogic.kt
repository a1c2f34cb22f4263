package org.jacinthlink.sidecar

import org.http4k.core.HttpHandler
import org.jacinthlink.api.Holding
import org.jacinthlink.decision.placement.PlacementPolicy
import org.jacinthlink.platform.httpModelEngine
import org.jacinthlink.platform.httpWeightStore
import org.jacinthlink.runtime.daemon.DaemonContext
import org.jacinthlink.runtime.daemon.DaemonLogic
import org.jacinthlink.runtime.daemon.DaemonState
import org.jacinthlink.runtime.supervision.Scope
import org.jacinthlink.sidecar.calls.sidecarClocks
import org.jacinthlink.sidecar.orders.engineOrders
import org.jacinthlink.sidecar.orders.orderLease
import org.jacinthlink.sidecar.placement.MovableStage
import org.jacinthlink.sidecar.placement.Placement
import org.jacinthlink.sidecar.placement.PlacementClaims
import org.jacinthlink.sidecar.stage.StageDaemon
import org.jacinthlink.sidecar.stage.StageParts
import org.jacinthlink.sidecar.stage.engineLoader
import org.jacinthlink.sidecar.stage.stageDaemon
import org.jacinthlink.sidecar.stage.stagesWith

/** Daemon logic beside a model engine. */
internal class StageLogic(
    private val settings: SidecarSettings,
    private val home: Holding.Stage,
    private val context: DaemonContext
) : DaemonLogic {
    private val scope = context.scope.child("stage")
    private val clocks = sidecarClocks()
    private val engine = httpModelEngine(context.externalClient, settings.backendServerUrl)
    private val weights = httpWeightStore(context.externalClient, settings.weightStoreUrl)
    private val orders = engineOrders(engine)

    private val lease by lazy {
        orderLease(context.platform.keyValue, scope, clocks.monotonic)
    }

    // The own address is part of every route, and is known only once the server listens.
    private val stage: MovableStage by lazy { MovableStage(home, context, scope, ::assemble) }

    override val handler: HttpHandler = { request -> stage.daemon.handler(request) }

    init {
        scope.run("start") {
            while (runCatching { context.address }.isFailure) Thread.sleep(LISTEN_POLL_MS)
            stage.start()
            startPlacement()
        }
    }

    override fun state(): DaemonState =
        DaemonState(stage.ready, stage.holding, stage.daemon.load())

    override fun openWork(): Int = stage.daemon.openWork()

    override fun onDrain() = stage.drain()

    private fun startPlacement() {
        val placement =
            Placement(
                home,
                PlacementPolicy(home, settings.placement),
                PlacementClaims(home.model, context.platform.keyValue, clocks.wall),
                stage,
                context.membership::stagesWith,
                context.clock,
                context.eventLog
            )
        scope.repeat("placement", { Placement.INTERVAL_MS }, placement::tick)
    }

    private fun assemble(holding: Holding.Stage, own: Scope): StageDaemon =
        stageDaemon(
            StageParts(
                instance = context.instance,
                address = context.address,
                availabilityZone = context.settings.availabilityZone,
                holding = holding,
                engine = engine,
                loadEngine = engineLoader(holding, weights) { orders.load(lease, holding) },
                client = context.peerClient,
                membership = context.membership,
                configuration = context.configuration,
                scope = own,
                clock = context.clock,
                events = context.eventLog,
                stageLimits = settings.stage,
                headLimits = settings.head,
                policy = settings.daemon.schedulingPolicy
            )
        )

    private companion object {
        const val LISTEN_POLL_MS = 5L
    }
}
