package org.jacinthlink.sidecar

import org.jacinthlink.api.Holding
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.Role
import org.jacinthlink.decision.configuration.applyChange
import org.jacinthlink.platform.etcdKeyValueService
import org.jacinthlink.platform.httpInstanceList
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.runtime.daemon.DaemonContext
import org.jacinthlink.runtime.daemon.DaemonLogic
import org.jacinthlink.runtime.daemon.DaemonPlatform
import org.jacinthlink.runtime.daemon.DaemonSetup
import org.jacinthlink.runtime.daemon.startDaemon

/**
 * Starts a sidecar.
 *
 * @param stopOnSignal True to begin a graceful stop on SIGTERM.
 */
fun startSidecar(
    settings: SidecarSettings,
    stopOnSignal: Boolean = false
): Outcome<RunningProcess> {
    val setup =
        DaemonSetup(
            settings = settings.daemon,
            role = Role.SIDECAR,
            platform = { client ->
                DaemonPlatform(
                    etcdKeyValueService(client, settings.keyValueUrl),
                    httpInstanceList(client, settings.instanceListUrl)
                )
            },
            applyChange = ::applyChange,
            interest = { it.role == Role.SIDECAR && settings.holding is Holding.Stage },
            stopOnSignal = stopOnSignal
        )
    return startDaemon(setup) { context -> sidecarLogic(settings, context) }
}

private fun sidecarLogic(settings: SidecarSettings, context: DaemonContext): DaemonLogic =
    when (val holding = settings.holding) {
        is Holding.Stage -> StageLogic(settings, holding, context)
        is Holding.Service -> serviceLogic(settings, holding, context)
    }
