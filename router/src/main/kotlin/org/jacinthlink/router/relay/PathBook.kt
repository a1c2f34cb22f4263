package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.ServiceDefinition
import org.jacinthlink.decision.paths.FirstEventBacklog
import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.paths.firstEventBacklog
import org.jacinthlink.decision.paths.planPaths
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
    private val ownTokensByHome = HashMap<String, Long>()
    private val avoidedUntilMs = HashMap<String, Long>()
    private val backlogs = HashMap<String, FirstEventBacklog<PathUse>>()
    private var peerTokens = emptyMap<String, Long>()

    /** Tokens of this process's requests on the path of each zone. */
    val ownTokens: Map<String, Long> get() = ownTokensByHome.toMap()

    /** Takes the tokens that all peers together use on the path of each zone. */
    fun notePeers(tokens: Map<String, Long>) {
        peerTokens = tokens
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
     * A path that crosses zones is used when the others are full or let requests wait. A request
     * that goes on ([isUrgent]) takes a path with a backlog rather than none.
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
        val usable = all.filter { (avoidedUntilMs[it.home] ?: 0) <= nowMs }.ifEmpty { all }
        val prompt = usable.near().filter { acceptsMore(it.home, nowMs) }
        val candidates = if (isUrgent) prompt.ifEmpty { usable } else prompt
        val roomy = candidates.filter { load(it, tokens) <= FILL_SHARE }.ifEmpty { candidates }
        return roomy.minWithOrNull(
            compareBy<ServingPath> { it.crossings > 0 }.thenBy { load(it, tokens) }
        )
    }

    /** Tokens for which the roomiest usable path has room. */
    fun roomTokens(service: ServiceDefinition, failed: Set<String>, nowMs: Long): Long {
        return paths(service, failed).near()
            .filter { (avoidedUntilMs[it.home] ?: 0) <= nowMs }
            .filter { acceptsMore(it.home, nowMs) }
            .maxOfOrNull { (it.capacityTokens * FILL_SHARE).toLong() - usedTokens(it.home) } ?: 0
    }

    /** Tokens that all paths of [service] together have room for. */
    fun capacityTokens(service: ServiceDefinition, failed: Set<String>): Long =
        paths(service, failed).sumOf { it.capacityTokens }

    /** Tokens that all routers use on the path of [home]. */
    fun usedTokens(home: String): Long = (ownTokensByHome[home] ?: 0) + (peerTokens[home] ?: 0)

    /** True if a path besides that of [home] has room for [tokens] without crossing zones. */
    fun hasOther(home: String, tokens: Long, nowMs: Long): Boolean =
        pathsByService.values.flatten().any { path ->
            path.home != home &&
                path.crossings == 0 &&
                (avoidedUntilMs[path.home] ?: 0) <= nowMs &&
                acceptsMore(path.home, nowMs) &&
                usedTokens(path.home) + tokens <= path.capacityTokens
        }

    /** Notes that a send takes [tokens] of [path]. */
    fun use(path: ServingPath, tokens: Long, nowMs: Long): PathUse {
        ownTokensByHome.merge(path.home, tokens, Long::plus)
        return PathUse(path, tokens).also { backlog(path.home).sent(it, nowMs) }
    }

    /** Notes that the send of [use] has brought its first event. */
    fun answered(use: PathUse) {
        backlog(use.path.home).answered(use)
    }

    /** Notes that the send of [use] has ended. */
    fun release(use: PathUse) {
        ownTokensByHome.merge(use.path.home, -use.tokens, Long::plus)
        answered(use)
    }

    /** Prefers other paths than that of [home] until [untilMs]. */
    fun avoid(home: String, untilMs: Long) {
        avoidedUntilMs.merge(home, untilMs, ::maxOf)
    }

    /** Paths with few crossings if there are any: each takes the whole prompt over a shared link. */
    private fun List<ServingPath>.near(): List<ServingPath> =
        filter { it.crossings <= MAX_CROSSINGS }.ifEmpty { this }

    private fun acceptsMore(home: String, nowMs: Long): Boolean =
        backlogs[home]?.acceptsMore(nowMs) ?: true

    private fun backlog(home: String): FirstEventBacklog<PathUse> =
        backlogs.getOrPut(home) { firstEventBacklog() }

    private fun load(path: ServingPath, tokens: Long): Double = (
        usedTokens(
            path.home
        ) + tokens
        ) / path.capacityTokens.coerceAtLeast(1).toDouble()

    private fun logIfChanged(service: String, paths: List<ServingPath>) {
        val text = paths.joinToString(";") { path ->
            "${path.home}:${path.capacityTokens}:${path.crossings}:${path.parts.size}"
        }
        if (described.put(service, text) != text) {
            log.event("paths_planned", "service" to service, "paths" to text)
        }
    }

    private companion object {
        /** Part of a path's memory that is given out; the peers' use is known a little late. */
        const val FILL_SHARE = 0.92

        /** A prompt of usual length takes 23 ms of the link between zones for each crossing. */
        const val MAX_CROSSINGS = 4
    }
}
