package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.ServiceDefinition
import org.jacinthlink.decision.paths.FirstEventBacklog
import org.jacinthlink.decision.paths.GrowingPause
import org.jacinthlink.decision.paths.NO_LOAD
import org.jacinthlink.decision.paths.PathLoad
import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.paths.firstEventBacklog
import org.jacinthlink.decision.paths.growingPause
import org.jacinthlink.decision.paths.planPaths
import org.jacinthlink.decision.paths.shareTaken
import org.jacinthlink.decision.paths.usableTokens
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.beliefs.ServerDirectory

/** The part of a path that one send takes. */
internal class PathUse(val path: ServingPath, val tokens: Long)

/** Paths of each model service, and how much of each this process uses. */
internal class PathBook(
    private val log: DecisionLog,
    private val servers: ServerDirectory,
    private val slow: () -> Set<String>
) {
    private val pathsByService = HashMap<String, List<ServingPath>>()
    private val described = HashMap<String, String>()
    private val ownLoads = HashMap<String, PathLoad>()
    private val rejections = HashMap<String, GrowingPause>()
    private val backlogs = HashMap<String, FirstEventBacklog<PathUse>>()
    private var peerLoads = emptyMap<String, PathLoad>()

    /** What this process's requests take of the path of each zone. */
    val ownLoad: Map<String, PathLoad> get() = ownLoads.toMap()

    /** Takes what the requests of all peers together take of the path of each zone. */
    fun notePeers(loads: Map<String, PathLoad>) {
        peerLoads = loads
    }

    /** Plans all paths anew at the next use. */
    fun invalidate() {
        pathsByService.clear()
    }

    /** Paths of [service] without the servers at [failed]. */
    fun paths(service: ServiceDefinition, failed: Set<String>): List<ServingPath> {
        val engine = service.engine ?: return emptyList()
        return pathsByService.getOrPut(service.name) {
            planPaths(engine, servers.ready(service.name), failed, slow())
                .also { logIfChanged(service.name, it) }
        }
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
        val roomy = candidates.filter { share(it, tokens) <= FILL_SHARE }.ifEmpty { candidates }
        return roomy.minByOrNull { burden(it, tokens) }
    }

    /** True if a path has room for a request of [tokens] and answers soon. */
    fun hasRoom(
        service: ServiceDefinition,
        failed: Set<String>,
        tokens: Long,
        nowMs: Long
    ): Boolean = paths(service, failed).straight().any { takes(it, tokens, nowMs) }

    /** Tokens of requests of [usualTokens] that all paths of [service] together can run. */
    fun usableTokens(service: ServiceDefinition, failed: Set<String>, usualTokens: Long): Long =
        paths(service, failed).sumOf { it.usableTokens(usualTokens) }

    /** Tokens that all routers use on the path of [home]. */
    fun usedTokens(home: String): Long = load(home).tokens

    /** True if a path besides that of [home] has room for [tokens] without crossing zones. */
    fun hasOther(home: String, tokens: Long, nowMs: Long): Boolean =
        pathsByService.values.flatten()
            .any { it.home != home && it.crossings == 0 && takes(it, tokens, nowMs) }

    /** Notes that a send takes [tokens] of [path]. */
    fun use(path: ServingPath, tokens: Long, nowMs: Long): PathUse {
        ownLoads.merge(path.home, PathLoad(tokens, 1), PathLoad::plus)
        return PathUse(path, tokens).also { backlog(path.home).sent(it, nowMs) }
    }

    /** Notes that the send of [use] has brought its first event. */
    fun answered(use: PathUse) {
        backlog(use.path.home).answered(use)
        rejections[use.path.home]?.reset()
    }

    /** Notes that the send of [use] has ended. */
    fun release(use: PathUse) {
        ownLoads.merge(use.path.home, NO_LOAD - PathLoad(use.tokens, 1), PathLoad::plus)
        backlog(use.path.home).answered(use)
    }

    /** Leaves the path of [home], which has turned a request away, alone for a while. */
    fun rejected(home: String, nowMs: Long) {
        rejections.getOrPut(home) { growingPause(FULL_PAUSE_MS, LAST_PAUSE_MS) }.begin(nowMs)
    }

    /** Paths within a zone if there are any: each crossing takes the prompt over a shared link. */
    private fun List<ServingPath>.straight(): List<ServingPath> =
        filter { it.crossings == 0 }.ifEmpty { this }

    private fun takes(path: ServingPath, tokens: Long, nowMs: Long): Boolean =
        isAccepting(path, nowMs) && isPrompt(path, nowMs) && share(path, tokens) <= FILL_SHARE

    private fun isAccepting(path: ServingPath, nowMs: Long): Boolean =
        rejections[path.home]?.isOver(nowMs) ?: true

    private fun isPrompt(path: ServingPath, nowMs: Long): Boolean =
        backlogs[path.home]?.acceptsMore(nowMs) ?: true

    private fun backlog(home: String): FirstEventBacklog<PathUse> =
        backlogs.getOrPut(home) { firstEventBacklog() }

    private fun load(home: String): PathLoad =
        (ownLoads[home] ?: NO_LOAD) + (peerLoads[home] ?: NO_LOAD)

    private fun share(path: ServingPath, tokens: Long): Double =
        path.shareTaken(PathLoad(tokens, 1), pathsByService.values.flatten(), ::load)

    private fun burden(path: ServingPath, tokens: Long): Double =
        share(path, tokens) + backlog(path.home).waitingShare

    private fun logIfChanged(service: String, paths: List<ServingPath>) {
        val text = paths.joinToString(";") { path ->
            "${path.home}:${path.capacityTokens}:${path.crossings}:${path.parts.size}"
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
