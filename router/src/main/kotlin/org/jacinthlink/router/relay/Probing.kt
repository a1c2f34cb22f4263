package org.jacinthlink.router.relay

import org.jacinthlink.api.InstanceId
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.probing.ProbingRouters
import org.jacinthlink.decision.probing.recheckPeriodMs
import org.jacinthlink.decision.retry.ServerPauses
import org.jacinthlink.router.RouterMetrics
import org.jacinthlink.router.peers.GossipMessage

/** Why a server is probed; the name in lower case is a label of the metric. */
internal enum class ProbeReason {
    /** A path through the server is silent, and the server is in this router's share. */
    SILENT,

    /** The path is still silent after the first probes. */
    REST,

    /** The server is unresponsive and may be back. */
    LOST,

    /** A peer has reported the server. */
    REPORTED,

    /** A request or an order has failed at the server. These probes are not counted. */
    FAILED_CALL
}

/**
 * What the probes of this router depend on: the alive routers with their reports, and the pauses
 * that servers have asked for.
 */
internal class Probing(
    instance: String,
    private val metrics: RouterMetrics,
    private val pauses: ServerPauses,
    private val alivePeers: () -> List<GossipMessage>
) {
    private val own = InstanceId(instance)

    /** The routers that divide the probes among them. */
    val routers: ProbingRouters
        get() = ProbingRouters(own, alivePeers().map { InstanceId(it.instance) }.toSet())

    /** True if [server] wants no requests at present; it gets no repeated checks either. */
    fun isPaused(server: BackendServer, nowMs: Long): Boolean =
        pauses.remainingMs(server.start, nowMs) > 0

    /** True if the lost server at [address], last checked [sinceMs] ago, is to be probed. */
    fun isRecheckDue(address: String, sinceMs: Long): Boolean {
        val reporting =
            alivePeers().filter { address in it.failed && address !in it.leaving }
                .map { InstanceId(it.instance) }
        return sinceMs >= routers.recheckPeriodMs(address, reporting.toSet())
    }

    /** Counts a probe. */
    fun recordProbe(reason: ProbeReason) {
        if (reason != ProbeReason.FAILED_CALL) metrics.probed(reason.name.lowercase())
    }
}
