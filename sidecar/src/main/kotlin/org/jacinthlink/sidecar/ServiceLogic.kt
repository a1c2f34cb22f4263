package org.jacinthlink.sidecar

import org.http4k.core.HttpHandler
import org.jacinthlink.api.Holding
import org.jacinthlink.api.ResultCode
import org.jacinthlink.runtime.daemon.DaemonLogic
import org.jacinthlink.runtime.daemon.DaemonState
import org.jacinthlink.runtime.http.errorResponse

/** Daemon logic beside a plain service. Not ready until the call path is wired in. */
internal class ServiceLogic(private val holding: Holding.Service) : DaemonLogic {
    override val handler: HttpHandler = {
        errorResponse(ResultCode.NO_BACKEND_SERVER, "calls to plain services are not served yet")
    }

    override fun state() = DaemonState(ready = false, holding = holding)

    override fun openWork(): Int = 0
}
