package org.jacinthlink.sidecar

import org.http4k.core.HttpHandler
import org.http4k.core.Status
import org.jacinthlink.api.Holding
import org.jacinthlink.api.LoadReport
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.platform.httpPlainService
import org.jacinthlink.runtime.daemon.DaemonContext
import org.jacinthlink.runtime.daemon.DaemonLogic
import org.jacinthlink.runtime.daemon.DaemonState
import org.jacinthlink.runtime.http.jsonResponse
import org.jacinthlink.sidecar.calls.callExecutor
import org.jacinthlink.sidecar.calls.callRoutes
import org.jacinthlink.sidecar.calls.claimStore

/** Daemon logic beside a plain service. */
internal class ServiceLogic(
    settings: SidecarSettings,
    private val holding: Holding.Service,
    context: DaemonContext
) : DaemonLogic {
    private val executor =
        callExecutor(
            holding,
            httpPlainService(context.externalClient, settings.backendServerUrl),
            claimStore(holding.service, context.platform.keyValue),
            context.configuration,
            context.scope.child("calls")
        )
    private val calls = callRoutes(executor)

    override val handler: HttpHandler = { request ->
        if (request.uri.path == LOAD_PATH) load() else calls(request)
    }

    override fun state() = DaemonState(holding = holding, load = executor.load())

    override fun openWork(): Int = executor.openCalls

    override fun onDrain() = executor.drain()

    private fun load() =
        jsonResponse(
            Status.OK,
            ProtocolJson.encodeToString(LoadReport.serializer(), executor.load())
        )

    private companion object {
        const val LOAD_PATH = "/v1/load"
    }
}
