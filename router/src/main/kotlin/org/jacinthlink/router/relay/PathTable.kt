package org.jacinthlink.router.relay

import org.jacinthlink.decision.admission.AnswerTime
import org.jacinthlink.decision.admission.NO_RATE_WAIT
import org.jacinthlink.decision.admission.RateWait
import org.jacinthlink.decision.admission.answerTime
import org.jacinthlink.decision.fleet.ServiceDefinition
import org.jacinthlink.decision.paths.ExponentialBackoff
import org.jacinthlink.decision.paths.FirstEventBacklog
import org.jacinthlink.decision.paths.MAX_UTILIZATION
import org.jacinthlink.decision.paths.NO_LOAD
import org.jacinthlink.decision.paths.PathCandidate
import org.jacinthlink.decision.paths.PathId
import org.jacinthlink.decision.paths.PathLoad
import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.paths.choosePath
import org.jacinthlink.decision.paths.exponentialBackoff
import org.jacinthlink.decision.paths.firstEventBacklog
import org.jacinthlink.decision.paths.planPaths
import org.jacinthlink.decision.paths.slotUtilization
import org.jacinthlink.decision.paths.usableTokens
import org.jacinthlink.decision.paths.utilization
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.state.ServerRegistry

/** What an attempt accepts of the path that it takes. */
internal enum class PathDemand {
    /** The path has a short backlog, because the request may wait in the admission queue. */
    FIRST_ATTEMPT,

    /** A path with a backlog, or one that has just rejected a request, if there is no other. */
    RETRY,

    /** The path has not just rejected a request; it may have a backlog if there is no other. */
    RESUMPTION
}

/** Capacity of a path that is reserved for one attempt. */
internal class PathReservation(val path: ServingPath, val tokens: Long, val reservedAtMs: Long)

/** Paths of each model service, and the load of each path. */
internal class PathTable(
    private val log: DecisionLog,
    private val servers: ServerRegistry,
    private val throttle: ServerThrottle,
    private val ownZone: String,
    private val slow: () -> Set<String>
) {
    private val pathsByService = HashMap<String, List<ServingPath>>()

    /**
     * All paths of [pathsByService], collected when paths are planned because they are read for
     * each request.
     */
    private var planned = emptyList<ServingPath>()
    private val loggedPlans = HashMap<String, String>()
    private val ownLoads = HashMap<PathId, PathLoad>()
    private val rejections = HashMap<PathId, ExponentialBackoff>()
    private val backlogs = HashMap<PathId, FirstEventBacklog<PathReservation>>()
    private var peerLoads = emptyMap<PathId, PathLoad>()

    /** Time from sending a request to its first event. */
    val firstEventTime: AnswerTime = answerTime()

    /** Load of each path by the requests of this process. */
    val ownLoad: Map<PathId, PathLoad> get() = ownLoads.filterValues { it != NO_LOAD }

    /** Replaces the load of each path by the requests of all peers together. */
    fun updateFromPeers(loads: Map<PathId, PathLoad>) {
        peerLoads = loads
    }

    /** Discards all paths, so that they are planned again at the next use. */
    fun invalidate() {
        pathsByService.clear()
        planned = emptyList()
    }

    /**
     * Paths of [service] without the servers at [failed]. They are planned at the first use after
     * [invalidate].
     */
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
     * Returns the path with the least load for a request of [tokens], or null if there is none.
     *
     * A path that crosses zones is used only if there is no other.
     */
    fun choose(
        service: ServiceDefinition,
        failed: Set<String>,
        tokens: Long,
        nowMs: Long,
        demand: PathDemand,
        mayUse: (ServingPath) -> Boolean
    ): ServingPath? {
        val all = paths(service, failed).filter { isOpen(it, nowMs) && mayUse(it) }
        val accepting = all.filter { isAccepting(it, nowMs) }
        val usable = if (demand == PathDemand.RESUMPTION) accepting else accepting.ifEmpty { all }
        val withinZone = usable.withinZone()
        val prompt = withinZone.filter { hasShortBacklog(it, nowMs) }
        val candidates =
            if (demand == PathDemand.FIRST_ATTEMPT) prompt else prompt.ifEmpty { withinZone }
        return choosePath(candidates.map { it.toCandidate(tokens) }, ownZone)
    }

    /** True if a path has capacity for a request of [tokens] and responds promptly. */
    fun hasCapacity(
        service: ServiceDefinition,
        failed: Set<String>,
        tokens: Long,
        nowMs: Long,
        maxUtilization: Double = MAX_UTILIZATION
    ): Boolean =
        paths(service, failed).withinZone().any { accepts(it, tokens, nowMs, maxUtilization) }

    /**
     * Time until a path of [service] is open, if servers of all paths have requested a pause;
     * otherwise 0.
     */
    fun pausedMs(service: ServiceDefinition, failed: Set<String>, nowMs: Long): Long =
        paths(service, failed)
            .minOfOrNull { path ->
                path.parts.maxOf { throttle.pauses.remainingMs(it.server.start, nowMs) }
            } ?: 0

    /** Wait for a path of [service] if the first servers of all paths take a limited rate. */
    fun rateWait(service: ServiceDefinition, failed: Set<String>, nowMs: Long): RateWait {
        val firstServers = paths(service, failed).map { it.first.start }.distinct()
        val rates = firstServers.map { throttle.limits.ownRate(it, nowMs) ?: return NO_RATE_WAIT }
        val nextMs =
            firstServers.minOfOrNull { throttle.limits.remainingMs(it, nowMs) }
                ?: return NO_RATE_WAIT
        return RateWait(nextMs, rates.sum() / MS_PER_S)
    }

    /**
     * Number of tokens that the paths of [service] that new requests use can run at once in
     * requests of usual size.
     */
    fun usableTokens(service: ServiceDefinition, failed: Set<String>): Long {
        val usualTokens = service.engine?.usualTokens ?: return 0
        return usableTokens(paths(service, failed).withinZone(), usualTokens.toLong())
    }

    /**
     * Number of tokens of requests of usual size that the paths of [service] that new requests use
     * can run in addition to the present requests of all routers.
     */
    fun freeTokens(service: ServiceDefinition, failed: Set<String>): Long {
        val usable = (usableTokens(service, failed) * MAX_UTILIZATION).toLong()
        val used = paths(service, failed).withinZone().sumOf { load(it.id).tokens }
        return (usable - used).coerceAtLeast(0)
    }

    /** Number of tokens that all routers use on the paths of the zone [home]. */
    fun usedTokens(home: String): Long =
        (ownLoads.keys + peerLoads.keys).filter { it.home == home }.sumOf { load(it).tokens }

    /**
     * True if a path of [service] outside the zone [home] has capacity for [tokens] and crosses no
     * zones.
     */
    fun hasAlternative(
        service: ServiceDefinition,
        failed: Set<String>,
        home: String,
        tokens: Long,
        nowMs: Long
    ): Boolean =
        paths(service, failed).any {
            it.home != home && it.zoneCrossings == 0 && accepts(it, tokens, nowMs)
        }

    /** Reserves [tokens] of the capacity of [path] for an attempt. */
    fun reserve(path: ServingPath, tokens: Long, nowMs: Long): PathReservation {
        ownLoads.merge(path.id, PathLoad(tokens, 1), PathLoad::plus)
        return PathReservation(path, tokens, nowMs).also { backlog(path.id).recordSent(it, nowMs) }
    }

    /** Records that the attempt of [reservation] has received its first event. */
    fun answered(reservation: PathReservation, nowMs: Long) {
        backlog(reservation.path.id).answered(reservation)
        firstEventTime.record(nowMs - reservation.reservedAtMs)
        rejections[reservation.path.id]?.reset()
    }

    /** Records that the attempt of [reservation] has ended. */
    fun release(reservation: PathReservation) {
        ownLoads.merge(
            reservation.path.id,
            NO_LOAD - PathLoad(reservation.tokens, 1),
            PathLoad::plus
        )
        backlog(reservation.path.id).answered(reservation)
    }

    /**
     * Records that the path [id] has refused a request. The path is avoided for a time that grows
     * with repeated refusals.
     */
    fun rejected(id: PathId, nowMs: Long) {
        rejections.getOrPut(id) { exponentialBackoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS) }
            .recordFailure(nowMs)
    }

    /**
     * Paths within a single zone if there are any, because each crossing sends the prompt over a
     * shared link.
     */
    private fun List<ServingPath>.withinZone(): List<ServingPath> =
        filter { it.zoneCrossings == 0 }.ifEmpty { this }

    private fun accepts(
        path: ServingPath,
        tokens: Long,
        nowMs: Long,
        maxUtilization: Double = MAX_UTILIZATION
    ): Boolean =
        isOpen(path, nowMs) &&
            isAccepting(path, nowMs) &&
            hasShortBacklog(path, nowMs) &&
            utilization(path, tokens) <= maxUtilization

    /** True if no server of [path] is paused, and its first server takes a request now. */
    private fun isOpen(path: ServingPath, nowMs: Long): Boolean =
        path.parts.all { throttle.pauses.allows(it.server.start, nowMs) } &&
            throttle.limits.allows(path.first.start, nowMs)

    private fun isAccepting(path: ServingPath, nowMs: Long): Boolean =
        rejections[path.id]?.allowsAttempt(nowMs) ?: true

    private fun hasShortBacklog(path: ServingPath, nowMs: Long): Boolean =
        backlogs[path.id]?.acceptsMore(nowMs) ?: true

    private fun backlog(id: PathId): FirstEventBacklog<PathReservation> =
        backlogs.getOrPut(id) { firstEventBacklog() }

    private fun load(id: PathId): PathLoad = (ownLoads[id] ?: NO_LOAD) + (peerLoads[id] ?: NO_LOAD)

    private fun utilization(path: ServingPath, tokens: Long): Double =
        path.utilization(PathLoad(tokens, 1), planned, ::load)

    /**
     * The backlog includes those of all paths of the zone, because these paths process prompts on
     * the same servers except for the first one.
     */
    private fun ServingPath.toCandidate(tokens: Long) =
        PathCandidate(
            this,
            utilization(this, tokens),
            backlogs.filterKeys { it.home == home }.values.sumOf { it.waitingShare },
            slotUtilization(NO_LOAD, planned, ::load)
        )

    private fun logIfChanged(service: String, paths: List<ServingPath>) {
        val text = paths.joinToString(";") { path ->
            "${path.id}:${path.capacityTokens}:${path.zoneCrossings}:${path.parts.size}"
        }
        if (loggedPlans.put(service, text) != text) {
            log.event("paths_planned", "service" to service, "paths" to text)
        }
    }

    private companion object {
        /** The first back-off is short because capacity is free again when a stream ends. */
        const val MIN_BACKOFF_MS = 150L
        const val MAX_BACKOFF_MS = 2_400L
        const val MS_PER_S = 1_000.0
    }
}
