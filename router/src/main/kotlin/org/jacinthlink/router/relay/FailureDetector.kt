package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.platform.fleet.ServerHealth
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.transport.EventLoop

/**
 * Detects backend servers that do not answer or that refuse requests, and excludes them from the
 * paths until they answer or accept requests again.
 *
 * A server that seems unresponsive is probed for a report, which any live engine returns at once. A
 * server that refuses requests gets a health check, because the store may be unavailable and not
 * show that the server is draining. If the server is healthy, its report shows whether it is
 * carrying out an order that arrived late and that no router tracks any more. An unresponsive
 * server is probed again by a few routers, and by the others when these no longer report it.
 */
internal class FailureDetector(
    private val loop: EventLoop,
    private val engines: EngineClient,
    private val probe: EngineProbe,
    private val probing: Probing,
    private val slowServers: SlowServerDetector,
    private val servers: ServerRegistry,
    private val healthPath: (service: String) -> String?,
    private val log: DecisionLog,
    private val clockMs: () -> Long,
    private val onChanged: () -> Unit,
    private val onUnresponsive: (address: String, isReportedByPeer: Boolean) -> Unit
) {
    private val faults = HashMap<String, Fault>()
    private val pendingChecks = HashSet<String>()
    private val scheduledRechecks = HashSet<String>()

    /** When the entries of unresponsive servers were found to be removed, by address. */
    private val endedAtMs = HashMap<String, Long>()

    /** Addresses of the excluded servers. */
    val failed: Set<String> get() = faults.keys.toSet()

    /** True if the server at [address] is excluded. */
    fun isFailed(address: String): Boolean = address in faults

    /** Addresses of draining and unresponsive servers, which are reported to the peers. */
    val unavailable: Set<String>
        get() = faults.filterValues { it.kind != FaultKind.CHANGING }.keys.toSet()

    /** Addresses of unresponsive servers. */
    val unresponsive: Set<String>
        get() = faults.filterValues { it.kind == FaultKind.SILENT }.keys.toSet()

    /** True if the server at [address] is unresponsive. */
    fun isUnresponsive(address: String): Boolean = faults[address]?.kind == FaultKind.SILENT

    /**
     * True if the server at [address] has ended: it is no longer registered and does not answer. A
     * server that leaves may serve for a while after its entry has been removed, and one that does
     * not answer may be behind a partition.
     */
    fun hasEnded(address: String): Boolean =
        servers.at(address) == null && (isUnresponsive(address) || address in endedAtMs)

    /** True if the server at [address] refuses requests because it is draining or failing. */
    fun isDraining(address: String): Boolean = faults[address]?.kind == FaultKind.LEAVING

    /**
     * Requests a report from [server], and excludes the server if it does not answer.
     *
     * @param reason If a peer has reported the server, peers are not notified again.
     */
    fun check(
        server: BackendServer,
        cause: String,
        reason: ProbeReason = ProbeReason.FAILED_CALL
    ) {
        val isReportedByPeer = reason == ProbeReason.REPORTED
        requestReport(server, reason) { report ->
            if (report == null) {
                markFailed(server.address, FaultKind.SILENT, cause, isReportedByPeer)
            } else {
                recordReport(server, report)
            }
        }
    }

    private fun requestReport(
        server: BackendServer,
        reason: ProbeReason,
        onReport: (EngineReport?) -> Unit
    ) {
        if (!pendingChecks.add(server.address)) return
        probing.recordProbe(reason)
        probe.requestReport(server) { report ->
            pendingChecks.remove(server.address)
            onReport(report)
        }
    }

    /**
     * Excludes [server], which a peer has reported as unresponsive, without a probe. The caller has
     * checked that the streams of this router through the server have stalled too.
     */
    fun excludeSuspected(server: BackendServer, cause: String) {
        if (!isFailed(server.address)) {
            markFailed(server.address, FaultKind.SILENT, cause, isReportedByPeer = true)
        }
    }

    private fun recordReport(server: BackendServer, report: EngineReport) {
        servers.applyReport(server, report)
        slowServers.recordReport(server, report)
        if (!isDraining(server.address)) recovered(server.address)
    }

    /** Checks whether [server], which has refused a request, is draining. */
    fun checkHealth(server: BackendServer, cause: String) {
        val path = healthPath(server.service) ?: return
        if (!pendingChecks.add(server.address)) return
        engines.health(server, path, HEALTH_TIMEOUT_MS) { health ->
            pendingChecks.remove(server.address)
            when (health) {
                ServerHealth.SERVING -> checkLayerChange(server, cause)
                ServerHealth.LEAVING -> markFailed(server.address, FaultKind.LEAVING, cause)
                ServerHealth.SILENT -> check(server, cause)
            }
        }
    }

    /** Checks whether [server], which is healthy but refuses requests, is changing its layers. */
    private fun checkLayerChange(server: BackendServer, cause: String) {
        // The paths already take an order of the layout leader into account.
        if (servers.hasOrderInProgress(server.instanceId)) return recovered(server.address)
        requestReport(server, ProbeReason.FAILED_CALL) { report ->
            when {
                report == null -> markFailed(server.address, FaultKind.SILENT, cause)
                report.isChangingLayers && !report.isFull() ->
                    markFailed(server.address, FaultKind.CHANGING, cause)
                else -> recordReport(server, report)
            }
        }
    }

    /** A full server refuses requests whether or not it is changing its layers. */
    private fun EngineReport.isFull(): Boolean =
        usedTokenLayers >= totalTokenLayers * FULL_SHARE

    private fun markFailed(
        address: String,
        kind: FaultKind,
        cause: String,
        isReportedByPeer: Boolean = false
    ) {
        val known = faults[address]
        val nowMs = clockMs()
        faults[address] = Fault(known?.sinceMs ?: nowMs, kind, nowMs)
        if (known?.kind != kind) {
            log.event(
                "server_failed",
                "address" to address,
                "kind" to kind.name.lowercase(),
                "cause" to cause
            )
            onChanged()
            if (kind == FaultKind.SILENT) onUnresponsive(address, isReportedByPeer)
        }
        recheckLater(address, RECHECK_MS)
    }

    private fun recheckLater(address: String, delayMs: Long) {
        if (!scheduledRechecks.add(address)) return
        loop.schedule(delayMs) {
            scheduledRechecks.remove(address)
            recheck(address)
        }
    }

    private fun recheck(address: String) {
        val fault = faults[address]
        val server = servers.at(address)
        when {
            fault == null -> Unit
            server == null -> forget(address)
            // A server that wants no requests for a while gets no health checks either.
            address in pendingChecks || probing.isPaused(server, clockMs()) ->
                recheckLater(address, RECHECK_MS)
            fault.kind == FaultKind.LEAVING -> checkHealth(server, "still leaving")
            fault.kind == FaultKind.CHANGING -> checkLayerChange(server, "still changing")
            probing.isRecheckDue(address, clockMs() - fault.checkedAtMs) ->
                check(server, "still silent", ProbeReason.LOST)
            else -> recheckLater(address, REPORTS_POLL_MS)
        }
    }

    /** Forgets the fault of a server that is no longer registered, but not that it has ended. */
    private fun forget(address: String) {
        val nowMs = clockMs()
        endedAtMs.values.removeAll { nowMs - it > ENDED_RETENTION_MS }
        if (isUnresponsive(address)) endedAtMs[address] = nowMs
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

        /** The server releases or loads layers by an order that this process has no record of. */
        CHANGING
    }

    private class Fault(val sinceMs: Long, val kind: FaultKind, val checkedAtMs: Long)

    private companion object {
        const val RECHECK_MS = 400L

        /** Period at which the reports of the responsible routers are looked at. */
        const val REPORTS_POLL_MS = 50L

        /** Reports are a few hundred ms old, so a full server may show some free memory. */
        const val FULL_SHARE = 0.85

        /** Requests last for a shorter time. */
        const val ENDED_RETENTION_MS = 60_000L

        /** A health check may have to wait for a free slot of the server. */
        const val HEALTH_TIMEOUT_MS = 250L
    }
}
