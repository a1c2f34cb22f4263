package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.platform.fleet.ServerHealth
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.transport.EventLoop

/**
 * Backend servers that are out of use until they answer or take work again.
 *
 * A silent server is asked for a report, which any living engine gives at once. A server that turns
 * requests away is asked for its health, because the store may be unable to tell that it drains,
 * and then whether it carries out an order that arrived late, which nobody expects any more.
 */
internal class FailureDetector(
    private val loop: EventLoop,
    private val engines: EngineClient,
    private val probe: EngineProbe,
    private val slowServers: SlowServerDetector,
    private val servers: ServerRegistry,
    private val healthPath: (service: String) -> String?,
    private val log: DecisionLog,
    private val clockMs: () -> Long,
    private val onChanged: () -> Unit,
    private val onSilent: (address: String, isReportedByPeer: Boolean) -> Unit
) {
    private val faults = HashMap<String, Fault>()
    private val asking = HashSet<String>()

    /** Addresses of servers that are out of use. */
    val failed: Set<String> get() = faults.keys.toSet()

    /** True if [address] is out of use. */
    fun isFailed(address: String): Boolean = address in faults

    /** Addresses of servers that leave or are silent, which the peers should know. */
    val unavailable: Set<String> get() = faults.filterValues { it.kind != FaultKind.CHANGING }.keys.toSet()

    /** Addresses of servers that do not answer. */
    val silent: Set<String> get() = faults.filterValues { it.kind == FaultKind.SILENT }.keys.toSet()

    /** True if the server at [address] does not answer. */
    fun isUnresponsive(address: String): Boolean = faults[address]?.kind == FaultKind.SILENT

    /** True if the server at [address] turns requests away because it drains. */
    fun isDraining(address: String): Boolean = faults[address]?.kind == FaultKind.LEAVING

    /**
     * Asks [server] for its state; without an answer it is taken as failed.
     *
     * @param isReportedByPeer True if the peers have been told already.
     */
    fun check(server: BackendServer, cause: String, isReportedByPeer: Boolean = false) {
        askForReport(server) { report ->
            if (report == null) {
                mark(server.address, FaultKind.SILENT, cause, isReportedByPeer)
            } else {
                heard(server, report)
            }
        }
    }

    private fun askForReport(server: BackendServer, onReport: (EngineReport?) -> Unit) {
        if (!asking.add(server.address)) return
        probe.requestReport(server) { report ->
            asking.remove(server.address)
            onReport(report)
        }
    }

    /** Takes the word of a peer that [server] is silent, which own streams bear out. */
    fun confirmSuspicion(server: BackendServer, cause: String) {
        if (!isFailed(server.address)) {
            mark(server.address, FaultKind.SILENT, cause, isReportedByPeer = true)
        }
    }

    private fun heard(server: BackendServer, report: EngineReport) {
        servers.applyReport(server, report)
        slowServers.heard(server, report)
        if (!isDraining(server.address)) recovered(server.address)
    }

    /** Asks [server], which has turned a request away, whether it leaves. */
    fun checkHealth(server: BackendServer, cause: String) {
        val path = healthPath(server.service) ?: return
        if (!asking.add(server.address)) return
        engines.health(server, path, HEALTH_TIMEOUT_MS) { health ->
            asking.remove(server.address)
            when (health) {
                ServerHealth.SERVING -> checkChange(server, cause)
                ServerHealth.LEAVING -> mark(server.address, FaultKind.LEAVING, cause)
                ServerHealth.SILENT -> check(server, cause)
            }
        }
    }

    /** Asks [server], which is healthy but turns requests away, whether it changes its layers. */
    private fun checkChange(server: BackendServer, cause: String) {
        if (servers.hasOrderInProgress(server.instanceId)) return recovered(server.address)
        askForReport(server) { report ->
            when {
                report == null -> mark(server.address, FaultKind.SILENT, cause)
                report.isChangingLayers && !report.isFull() ->
                    mark(server.address, FaultKind.CHANGING, cause)
                else -> heard(server, report)
            }
        }
    }

    /** A full server turns requests away whatever else it does. */
    private fun EngineReport.isFull(): Boolean =
        usedTokenLayers >= totalTokenLayers * FULL_SHARE

    private fun mark(
        address: String,
        kind: FaultKind,
        cause: String,
        isReportedByPeer: Boolean = false
    ) {
        val known = faults[address]
        if (known?.kind != kind) {
            faults[address] = Fault(known?.sinceMs ?: clockMs(), kind)
            log.event(
                "server_failed",
                "address" to address,
                "kind" to kind.name.lowercase(),
                "cause" to cause
            )
            onChanged()
            if (kind == FaultKind.SILENT) onSilent(address, isReportedByPeer)
        }
        askLater(address)
    }

    private fun askLater(address: String) {
        loop.schedule(RECHECK_MS) {
            val fault = faults[address]
            val server = servers.at(address)
            when {
                fault == null -> Unit
                server == null -> forget(address)
                fault.kind == FaultKind.LEAVING -> checkHealth(server, "still leaving")
                fault.kind == FaultKind.CHANGING -> checkChange(server, "still changing")
                else -> check(server, "still silent")
            }
        }
    }

    private fun forget(address: String) {
        faults.remove(address)
        onChanged()
    }

    private fun recovered(address: String) {
        val fault = faults.remove(address) ?: return
        log.event(
            "server_recovered",
            "address" to address,
            "failed_ms" to clockMs() - fault.sinceMs
        )
        onChanged()
    }

    private enum class FaultKind {
        SILENT,
        LEAVING,

        /** It gives layers up or loads them, by an order that this process does not know. */
        CHANGING
    }

    private class Fault(val sinceMs: Long, val kind: FaultKind)

    private companion object {
        const val RECHECK_MS = 400L

        /** Reports are some hundred ms old, so a full server may show a little room. */
        const val FULL_SHARE = 0.85

        /** A health question may wait for a slot. */
        const val HEALTH_TIMEOUT_MS = 250L
    }
}
