package org.jacinthlink.sidecar

import org.http4k.core.HttpHandler
import org.jacinthlink.api.Holding
import org.jacinthlink.platform.httpModelEngine
import org.jacinthlink.platform.httpWeightStore
import org.jacinthlink.runtime.daemon.DaemonContext
import org.jacinthlink.runtime.daemon.DaemonLogic
import org.jacinthlink.runtime.daemon.DaemonState
import org.jacinthlink.sidecar.calls.sidecarClocks
import org.jacinthlink.sidecar.orders.engineOrders
import org.jacinthlink.sidecar.orders.orderLease
import org.jacinthlink.sidecar.stage.StageDaemon
import org.jacinthlink.sidecar.stage.StageParts
import org.jacinthlink.sidecar.stage.engineLoader
import org.jacinthlink.sidecar.stage.stageDaemon

/** Daemon logic beside a model engine. */
internal class StageLogic(
    private val settings: SidecarSettings,
    private val holding: Holding.Stage,
    private val context: DaemonContext
) : DaemonLogic {
    private val scope = context.scope.child("stage")

    // The own address is part of every route, and is known only once the server listens.
    private val daemon: StageDaemon by lazy(::assemble)

    override val handler: HttpHandler = { request -> daemon.handler(request) }

    init {
        scope.run("start") {
            while (runCatching { context.address }.isFailure) Thread.sleep(LISTEN_POLL_MS)
            daemon.start()
        }
    }

    override fun state(): DaemonState =
        DaemonState(daemon.ready, holding, daemon.load())

    override fun openWork(): Int = daemon.openWork()

    override fun onDrain() = daemon.drain()

    private fun assemble(): StageDaemon {
        val engine = httpModelEngine(context.externalClient, settings.backendServerUrl)
        val weights = httpWeightStore(context.externalClient, settings.weightStoreUrl)
        val lease = orderLease(context.platform.keyValue, scope, sidecarClocks().monotonic)
        val orders = engineOrders(engine)
        return stageDaemon(
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
                scope = scope,
                clock = context.clock,
                events = context.eventLog,
                stageLimits = settings.stage,
                headLimits = settings.head,
                policy = settings.daemon.schedulingPolicy
            )
        )
    }

    private companion object {
        const val LISTEN_POLL_MS = 5L
    }
}
