package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.ServiceDefinition
import org.jacinthlink.decision.paths.FirstEventBacklog
import org.jacinthlink.decision.paths.ExponentialBackoff
import org.jacinthlink.decision.paths.NO_LOAD
import org.jacinthlink.decision.paths.PathId
import org.jacinthlink.decision.paths.PathLoad
import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.paths.firstEventBacklog
import org.jacinthlink.decision.paths.exponentialBackoff
import org.jacinthlink.decision.paths.planPaths
import org.jacinthlink.decision.paths.utilization
import org.jacinthlink.decision.paths.slotUtilization
import org.jacinthlink.decision.paths.usableTokens
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.state.ServerRegistry

/** The part of a path that one send takes. */
internal class PathUse(val path: ServingPath, val tokens: Long)

/** Paths of each model service, and how much of each this process uses. */
internal class PathTable(
    private val log: DecisionLog,
    private val servers: ServerRegistry,
    private val slow: () -> Set<String>
) {
    private val pathsByService = HashMap<String, List<ServingPath>>()

    /** All of [pathsByService]; made when paths are planned, and read for each request. */
    private var planned = emptyList<ServingPath>()
    private val described = HashMap<String, String>()
    private val ownLoads = HashMap<PathId, PathLoad>()
    private val rejections = HashMap<PathId, ExponentialBackoff>()
    private val backlogs = HashMap<PathId, FirstEventBacklog<PathUse>>()
    private var peerLoads = emptyMap<PathId, PathLoad>()

    /** What this process's requests take of each path. */
    val ownLoad: Map<PathId, PathLoad> get() = ownLoads.filterValues { it != NO_LOAD }

    /** Takes what the requests of all peers together take of each path. */
    fun updateFromPeers(loads: Map<PathId, PathLoad>) {
        peerLoads = loads
    }

    /** Plans all paths anew at the next use. */
    fun invalidate() {
        pathsByService.clear()
        planned = emptyList()
    }

    /** Paths of [service] without the servers at [failed]. */
    fun paths(service: ServiceDefinition, failed: Set<String>): List<ServingPath> {
        val engine = service.engine ?: return emptyList()
        pathsByService[service.name]?.let { return it }
        val next = planPaths(engine, servers.ready(service.name), failed, slow())
        logIfChanged(service.name, next)
        pathsByService[service.name] = next
        planned = pathsByService.values.flatten()
        return next
    }

    /**
     * The path with the least load for a request of [tokens], or null if there is none.
     *
     * A path that crosses zones is used only if there is no other. A request that goes on
     * ([isUrgent]) takes a path with a backlog rather than none.
     */
    fun choose(
        service: ServiceDefinition,
        failed: Set<String>,
        tokens: Long,
        nowMs: Long,
        isUrgent: Boolean,
        mayUse: (ServingPath) -> Boolean
    ): ServingPath? {
        val all = paths(service, failed).filter(mayUse)
        val straight = all.filter { isAccepting(it, nowMs) }.ifEmpty { all }.straight()
        val prompt = straight.filter { isPrompt(it, nowMs) }
        val candidates = if (isUrgent) prompt.ifEmpty { straight } else prompt
        val loaded = candidates.map { LoadedPath(it, share(it, tokens)) }
        val roomy = loaded.filter { it.share <= FILL_SHARE }.ifEmpty { loaded }
        return roomy.minWithOrNull(compareBy({ it.burden }, { it.slotUtilization }))?.path
    }

    /** True if a path has room for a request of [tokens] and answers soon. */
    fun hasRoom(
        service: ServiceDefinition,
        failed: Set<String>,
        tokens: Long,
        nowMs: Long
    ): Boolean = paths(service, failed).straight().any { takes(it, tokens, nowMs) }

    /** Tokens of requests of usual size that all paths of [service] together can run. */
    fun usableTokens(service: ServiceDefinition, failed: Set<String>): Long {
        val usualTokens = service.engine?.usualTokens ?: return 0
        return usableTokens(paths(service, failed), usualTokens.toLong())
    }

    /** Those of them that no router uses. */
    fun freeTokens(service: ServiceDefinition, failed: Set<String>): Long {
        val usable = (usableTokens(service, failed) * FILL_SHARE).toLong()
        val used = paths(service, failed).sumOf { load(it.id).tokens }
        return (usable - used).coerceAtLeast(0)
    }

    /** Tokens that all routers use on the paths of [home]. */
    fun usedTokens(home: String): Long =
        (ownLoads.keys + peerLoads.keys).filter { it.home == home }.sumOf { load(it).tokens }

    /** True if a path besides those of [home] has room for [tokens] without crossing zones. */
    fun hasOther(home: String, tokens: Long, nowMs: Long): Boolean =
        planned.any { it.home != home && it.zoneCrossings == 0 && takes(it, tokens, nowMs) }

    /** Notes that a send takes [tokens] of [path]. */
    fun use(path: ServingPath, tokens: Long, nowMs: Long): PathUse {
        ownLoads.merge(path.id, PathLoad(tokens, 1), PathLoad::plus)
        return PathUse(path, tokens).also { backlog(path.id).sent(it, nowMs) }
    }

    /** Notes that the send of [use] has brought its first event. */
    fun answered(use: PathUse) {
        backlog(use.path.id).answered(use)
        rejections[use.path.id]?.reset()
    }

    /** Notes that the send of [use] has ended. */
    fun release(use: PathUse) {
        ownLoads.merge(use.path.id, NO_LOAD - PathLoad(use.tokens, 1), PathLoad::plus)
        backlog(use.path.id).answered(use)
    }

    /** Leaves the path of [id], which has turned a request away, alone for a while. */
    fun rejected(id: PathId, nowMs: Long) {
        rejections.getOrPut(id) { exponentialBackoff(FULL_PAUSE_MS, LAST_PAUSE_MS) }.recordFailure(nowMs)
    }

    /** Paths within a zone if there are any: each crossing takes the prompt over a shared link. */
    private fun List<ServingPath>.straight(): List<ServingPath> =
        filter { it.zoneCrossings == 0 }.ifEmpty { this }

    private fun takes(path: ServingPath, tokens: Long, nowMs: Long): Boolean =
        isAccepting(path, nowMs) && isPrompt(path, nowMs) && share(path, tokens) <= FILL_SHARE

    private fun isAccepting(path: ServingPath, nowMs: Long): Boolean =
        rejections[path.id]?.allowsAttempt(nowMs) ?: true

    private fun isPrompt(path: ServingPath, nowMs: Long): Boolean =
        backlogs[path.id]?.acceptsMore(nowMs) ?: true

    private fun backlog(id: PathId): FirstEventBacklog<PathUse> =
        backlogs.getOrPut(id) { firstEventBacklog() }

    private fun load(id: PathId): PathLoad = (ownLoads[id] ?: NO_LOAD) + (peerLoads[id] ?: NO_LOAD)

    private fun share(path: ServingPath, tokens: Long): Double =
        path.utilization(PathLoad(tokens, 1), planned, ::load)

    /** A path and what would be taken of it; each figure is worked out once for a request. */
    private inner class LoadedPath(val path: ServingPath, val share: Double) {
        /** The paths of a zone read their prompts with the same servers, but for the first. */
        val burden: Double =
            share + backlogs.filterKeys { it.home == path.home }.values.sumOf { it.waitingShare }

        val slotUtilization: Double = path.slotUtilization(NO_LOAD, planned, ::load)
    }

    private fun logIfChanged(service: String, paths: List<ServingPath>) {
        val text = paths.joinToString(";") { path ->
            "${path.id}:${path.capacityTokens}:${path.zoneCrossings}:${path.parts.size}"
        }
        if (described.put(service, text) != text) {
            log.event("paths_planned", "service" to service, "paths" to text)
        }
    }

    private companion object {
        /** Room that is short for a moment is back when the next stream ends. */
        const val FULL_PAUSE_MS = 150L
        const val LAST_PAUSE_MS = 2_400L

        /** Part of a path that is given out; the peers' use is known a little late. */
        const val FILL_SHARE = 0.92
    }
}
