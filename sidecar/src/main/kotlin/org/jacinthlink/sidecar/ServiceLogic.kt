package org.jacinthlink.sidecar

import org.http4k.core.HttpHandler
import org.jacinthlink.api.Holding
import org.jacinthlink.platform.httpPlainService
import org.jacinthlink.runtime.daemon.DaemonContext
import org.jacinthlink.runtime.daemon.DaemonLogic
import org.jacinthlink.runtime.daemon.DaemonState
import org.jacinthlink.sidecar.calls.CallExecutor
import org.jacinthlink.sidecar.calls.CallMonitor
import org.jacinthlink.sidecar.calls.CallParts
import org.jacinthlink.sidecar.calls.ServiceProbe
import org.jacinthlink.sidecar.calls.callExecutor
import org.jacinthlink.sidecar.calls.callRoutes
import org.jacinthlink.sidecar.calls.claimStore

/** Daemon logic beside a plain service. */
internal class ServiceLogic(
    private val holding: Holding.Service,
    private val executor: CallExecutor,
    private val isReady: () -> Boolean
) : DaemonLogic {
    override val handler: HttpHandler = callRoutes(executor)

    override fun state() = DaemonState(isReady(), holding, executor.load())

    override fun openWork(): Int = executor.openCalls

    override fun onDrain() = executor.drain()
}

/** Assembles the call path to the plain service of [settings]. */
internal fun serviceLogic(
    settings: SidecarSettings,
    holding: Holding.Service,
    context: DaemonContext
): ServiceLogic {
    val scope = context.scope.child("calls")
    val claims = claimStore(holding.service, context.platform.keyValue, settings.claims)
    // Registered first, so that it closes after the workers that record their results in it.
    scope.onClose(claims::close)
    val service = httpPlainService(context.externalClient, settings.backendServerUrl)
    val monitor = CallMonitor(context.eventLog, context.meters)
    val probe =
        ServiceProbe(
            settings.backendServerUrl,
            settings.probe,
            context.externalClient,
            monitor::readinessChanged
        )
    // The first description must tell the truth, because later changes reach subscribers only.
    probe.probe()
    scope.repeat("service-probe", { settings.probe.intervalMs }, probe::probe)
    val executor =
        callExecutor(
            CallParts(holding, service, claims, monitor),
            context.configuration,
            scope,
            settings.calls
        )
    return ServiceLogic(holding, executor, probe::ready)
}
