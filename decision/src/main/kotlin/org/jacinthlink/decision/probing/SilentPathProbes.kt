package org.jacinthlink.decision.probing

import org.jacinthlink.decision.paths.PathId
import org.jacinthlink.decision.paths.StalledPaths
import org.jacinthlink.decision.paths.StreamActivity

/**
 * Addresses of the servers of the path [id]. After a new plan, streams can be on two paths of the
 * same identity that differ in their servers.
 */
data class PathServers(val id: PathId, val addresses: List<String>)

/**
 * Probes of silent paths that this router leaves to others at first.
 *
 * Load pattern: a server in the middle of a path dies while the routers that are responsible for
 * it have no streams there, have just died themselves, or are cut off. Nobody probes it, so each
 * router with silent streams probes the remaining servers of their paths itself a little later. A
 * path that was only slow has had an event by then and costs no more probes.
 */
class SilentPathProbes internal constructor() {
    private val pending = HashMap<String, PendingProbes>()

    /** Returns which of the [servers] of [stalled], by address, this router probes at once. */
    fun start(
        stalled: StalledPaths,
        servers: List<String>,
        routers: ProbingRouters,
        nowMs: Long
    ): ProbeShare {
        val share = routers.share(servers)
        pending[stalled.name] = PendingProbes(stalled.paths, share.atOnce.toSet(), nowMs)
        return share
    }

    /**
     * Returns the servers that are to be probed now, by the name of their silent paths.
     *
     * @param activities Streams in progress.
     * @param paths Paths of these streams.
     * @param unresponsive Addresses of the unresponsive servers. They explain the silence of the
     *   paths that pass through them.
     */
    fun remaining(
        activities: List<StreamActivity>,
        paths: List<PathServers>,
        unresponsive: Set<String>,
        nowMs: Long
    ): Map<String, List<String>> {
        val due = pending.filterValues { nowMs - it.startedAtMs >= REMAINING_DELAY_MS }
        pending.keys.removeAll(due.keys)
        return due.mapValues { (_, probes) ->
            val silent = probes.silentPaths(activities)
            paths.filter { path -> path.id in silent && path.addresses.none { it in unresponsive } }
                .flatMap { it.addresses }.distinct().filter { it !in probes.probed }
        }.filterValues { it.isNotEmpty() }
    }

    private data class PendingProbes(
        val paths: Set<PathId>,
        val probed: Set<String>,
        val startedAtMs: Long
    ) {
        /** The paths with streams from before the detection, if none has had an event since. */
        fun silentPaths(activities: List<StreamActivity>): Set<PathId> {
            val own = activities.filter { it.path in paths }
            val (later, before) = own.partition { it.lastActivityAtMs > startedAtMs }
            if (later.any { it.hasReceivedEvents }) return emptySet()
            return before.map { it.path }.toSet()
        }
    }

    private companion object {
        /** A probe takes 55 to 80 ms on a machine with spare processor time. */
        const val REMAINING_DELAY_MS = 80L
    }
}

/** Creates an object without pending probes. */
fun silentPathProbes(): SilentPathProbes = SilentPathProbes()
