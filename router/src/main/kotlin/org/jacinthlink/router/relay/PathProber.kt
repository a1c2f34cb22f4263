package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.paths.StalledPaths
import org.jacinthlink.decision.paths.StreamActivity
import org.jacinthlink.decision.probing.PathServers
import org.jacinthlink.decision.probing.silentPathProbes
import org.jacinthlink.router.DecisionLog

/** Probes the servers of silent paths: this router's share of them at once, the others later. */
internal class PathProber(
    private val log: DecisionLog,
    private val failureDetector: FailureDetector,
    private val probing: Probing
) {
    private val probes = silentPathProbes()

    /** Probes this router's share of the servers of [paths], which are [stalled]. */
    fun probe(stalled: StalledPaths, paths: List<ServingPath>, nowMs: Long) {
        val servers = serversOf(paths)
        val share = probes.start(stalled, servers.keys.toList(), probing.routers, nowMs)
        logProbes(stalled.name, servers.size, share.atOnce.size, share.remaining.size)
        share.atOnce.forEach { probe(servers.getValue(it), ProbeReason.SILENT) }
    }

    /** Probes the remaining servers of [paths] that are still silent for no known reason. */
    fun probeRemaining(activities: List<StreamActivity>, paths: List<ServingPath>, nowMs: Long) {
        val servers = serversOf(paths)
        val pathServers =
            paths.map { path -> PathServers(path.id, path.parts.map { it.server.address }) }
        val due =
            probes.remaining(activities, pathServers, failureDetector.unresponsive, nowMs)
        due.forEach { (name, addresses) ->
            logProbes(name, addresses.size, 0, addresses.size)
            addresses.forEach { probe(servers.getValue(it), ProbeReason.REST) }
        }
    }

    private fun serversOf(paths: List<ServingPath>): Map<String, BackendServer> =
        paths.flatMap { it.parts }.map { it.server }.associateBy { it.address }

    private fun probe(server: BackendServer, reason: ProbeReason) =
        failureDetector.check(server, "path silent", reason)

    private fun logProbes(name: String, servers: Int, atOnce: Int, remaining: Int) =
        log.event(
            "path_probed",
            "path" to name,
            "servers" to servers,
            "at_once" to atOnce,
            "remaining" to remaining
        )
}
