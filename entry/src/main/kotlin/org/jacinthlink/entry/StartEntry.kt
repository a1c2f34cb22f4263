package org.jacinthlink.entry

import org.http4k.core.HttpHandler
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
import org.jacinthlink.runtime.daemon.DaemonState
import org.jacinthlink.runtime.daemon.startDaemon
import org.jacinthlink.runtime.http.ServerLimits

/**
 * Starts an entry.
 *
 * @param stopOnSignal True to begin a graceful stop on SIGTERM.
 */
fun startEntry(settings: EntrySettings, stopOnSignal: Boolean = false): Outcome<RunningProcess> {
    val setup =
        DaemonSetup(
            settings = settings.daemon,
            role = Role.ENTRY,
            platform = { client ->
                DaemonPlatform(
                    etcdKeyValueService(
                        client,
                        settings.keyValueUrl,
                        maxTimeoutMs = KEY_VALUE_TIMEOUT_MS
                    ),
                    httpInstanceList(client, settings.instanceListUrl)
                )
            },
            applyChange = ::applyChange,
            limits =
            ServerLimits(
                maxBodyBytes = settings.limits.maxBodyBytes,
                maxConnections = settings.limits.maxOpenRequests
            ),
            stopOnSignal = stopOnSignal
        )
    return startDaemon(setup) { context -> EntryLogic(settings, context) }
}

// A change of the configuration takes up to eleven calls if its answer is lost, and an operator's
// command waits 15 s for it.
private const val KEY_VALUE_TIMEOUT_MS = 1_000L

private class EntryLogic(settings: EntrySettings, daemon: DaemonContext) : DaemonLogic {
    private val context = entryContext(settings, daemon)
    private val server = EntryServer(context).apply { start() }

    override val handler: HttpHandler = server::handle

    override fun isOpen(path: String): Boolean = EntryServer.isOpen(path)

    override fun state() = DaemonState()

    override fun openWork(): Int = server.openRequests

    override val isSettled: Boolean
        get() = !context.isSettling

    override val drainNoticeMs = settings.limits.drainNoticeMs

    override fun onDrain() {
        context.isClosed = true
    }
}

private fun entryContext(settings: EntrySettings, context: DaemonContext) =
    EntryContext(
        instance = context.instance,
        settings = settings,
        clock = context.clock,
        scope = context.scope.child("entry"),
        eventLog = context.eventLog,
        meters = context.meters,
        peerClient = context.peerClient,
        membership = context.membership,
        configuration = context.configuration,
        configurationEditor = context.configurationEditor,
        isDraining = { context.draining }
    )
