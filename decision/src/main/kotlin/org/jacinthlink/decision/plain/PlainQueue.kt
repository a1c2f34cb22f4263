package org.jacinthlink.decision.plain

import kotlin.random.Random
import org.jacinthlink.decision.admission.NO_PEER_LOAD
import org.jacinthlink.decision.admission.PeerLoad
import org.jacinthlink.decision.admission.QueueDecision
import org.jacinthlink.decision.admission.RankLoad
import org.jacinthlink.decision.admission.ServiceRoom
import org.jacinthlink.decision.admission.WaitingRequest
import org.jacinthlink.decision.admission.admissionQueue
import org.jacinthlink.decision.admission.answerTime
import org.jacinthlink.decision.admission.serviceLoad
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.retry.budgetPart

/**
 * What the peers have told of the requests for a plain service.
 *
 * @property load Their requests that arrive, wait and start.
 * @property heardCount Number of peers with recent messages.
 * @property knownCount Number of peers that may be running.
 */
data class PlainPeers(
    val load: PeerLoad = NO_PEER_LOAD,
    val heardCount: Int = 0,
    val knownCount: Int = 0
)

/** Whether a request for a plain service is sent now. */
sealed interface PlainDecision {
    /** The request is to be sent now. */
    data object Start : PlainDecision

    /** The request is in the queue. */
    data object Queued : PlainDecision

    /** The request would start too late after [waitMs]; its caller may retry. */
    data class Refused(val waitMs: Double, val retryAfterMs: Long) : PlainDecision
}

/**
 * Requests for one plain service that wait until a server has a place for them.
 *
 * Load pattern: a burst of several times what the servers can run. A request is sent at once while
 * a server has a place. Otherwise it waits in the order of the admission queue, and is refused if
 * it is expected to start too late to be answered before its deadline.
 */
class PlainQueue<T> internal constructor(private val servers: PlainServers, random: Random) {
    private val waiting = admissionQueue<T>(random)
    private val load = serviceLoad()
    private val responseTime = answerTime()

    /** Number of requests in the queue. */
    val size: Int get() = waiting.size

    /** Time that is reserved for the run of a request, in ms. */
    val responseMs: Long get() = responseTime.boundMs

    /** Records an answer of the service after [tookMs]. */
    fun answered(tookMs: Long) = responseTime.record(tookMs)

    /**
     * Decides on [request], which has just arrived. The requests in the queue that can start now
     * must have been taken by [next] before.
     */
    fun admit(
        request: WaitingRequest<T>,
        usable: List<BackendServer>,
        peers: PlainPeers,
        nowMs: Long
    ): PlainDecision {
        load.arrived(request.priority, request.tokens, nowMs)
        // Without a usable server, the relay names the cause of the refusal.
        if (usable.isEmpty() || waiting.size == 0 && hasPlace(usable, peers, nowMs)) {
            load.started(request.tokens, nowMs)
            return PlainDecision.Start
        }
        val room = room(usable, peers, nowMs)
        val safeRoom = room.copy(tokensPerMs = room.tokensPerMs * SAFE_PART)
        return when (val decision = waiting.offer(request, nowMs, safeRoom)) {
            is QueueDecision.Queued -> PlainDecision.Queued
            is QueueDecision.Refused ->
                PlainDecision.Refused(decision.waitMs, decision.retryAfterMs)
        }
    }

    /** Removes and returns the next request if one of [usable] has a place; otherwise null. */
    fun next(
        usable: List<BackendServer>,
        peers: PlainPeers,
        nowMs: Long
    ): WaitingRequest<T>? =
        waiting.next(nowMs, responseMs) { hasPlace(usable, peers, nowMs) }
            ?.also { load.started(it.tokens, nowMs) }

    /** Removes and returns the next request although no server of the service is left. */
    fun nextWithoutServer(nowMs: Long): WaitingRequest<T>? =
        waiting.next(nowMs, responseMs) { true }

    /** Removes the requests whose items match [isRemoved]. */
    fun removeIf(isRemoved: (T) -> Boolean) = waiting.removeIf(isRemoved)

    /** Removes the requests that would start too late; returns when their callers may retry. */
    fun removeOverdue(
        usable: List<BackendServer>,
        peers: PlainPeers,
        nowMs: Long
    ): List<Pair<WaitingRequest<T>, Long>> {
        if (waiting.size == 0) return emptyList()
        // While all servers are paused, what they can start is unknown.
        val room = if (usable.isEmpty()) UNKNOWN_ROOM else room(usable, peers, nowMs)
        return waiting.removeOverdue(nowMs, room).map {
            it to waiting.retryAfterMs(it, 0.0, nowMs, room)
        }
    }

    /** Updates the measured rates; called periodically. */
    fun tick(peers: PlainPeers, nowMs: Long) =
        load.update(waiting.size > 0 || peers.load.waitingTokens > 0, nowMs)

    /** Rate at which requests start at this router, in tokens per ms. */
    fun startedTokensPerMs(nowMs: Long): Double = load.startedTokensPerMs(nowMs)

    /** Requests that arrive and wait at this router, by rank. */
    fun ranks(nowMs: Long): Map<Int, RankLoad> {
        val waiting = waiting.waitingLoads(nowMs, responseMs)
        val arriving = load.arrivingTokensPerMs(nowMs)
        return (waiting.keys + arriving.keys).associateWith {
            (waiting[it] ?: RankLoad()) + RankLoad(arrivingTokensPerMs = arriving[it] ?: 0.0)
        }
    }

    /** True if one of [usable] has a place for a request of this router. */
    fun hasPlace(usable: List<BackendServer>, peers: PlainPeers, nowMs: Long): Boolean =
        servers.hasPlace(usable, ownPart(peers, nowMs), nowMs)

    private fun room(usable: List<BackendServer>, peers: PlainPeers, nowMs: Long): ServiceRoom {
        val ownPart = ownPart(peers, nowMs)
        val places = servers.places(usable, ownPart, nowMs)
        val fullTokensPerMs = places.requestsPerMs * REQUEST_TOKENS
        val freeTokens = places.free.toLong() * REQUEST_TOKENS
        val room = load.room(freeTokens, fullTokensPerMs, peers.load, nowMs)
        // Starts at idle servers come at a higher rate than full ones can go on with.
        val tokensPerMs = minOf(room.tokensPerMs, fullTokensPerMs)
        return room.copy(tokensPerMs = tokensPerMs, ownPart = ownPart, answerMs = responseMs)
    }

    /** This router's part of the requests that arrive at all routers. */
    private fun ownPart(peers: PlainPeers, nowMs: Long): Double =
        budgetPart(
            toPerS(load.arrivingTokensPerMs(nowMs).values.sum()),
            toPerS(peers.load.ranks.values.sumOf { it.arrivingTokensPerMs }),
            peers.heardCount,
            peers.knownCount
        )

    private fun toPerS(tokensPerMs: Double): Int = (tokensPerMs * MS_PER_S / REQUEST_TOKENS).toInt()

    companion object {
        /**
         * Tokens of a request for a plain service. All cost the same. The admission queue expects
         * at least one token a ms, which must be a low rate, and gossip carries whole tokens a
         * second.
         */
        const val REQUEST_TOKENS = 1_000L
        private const val MS_PER_S = 1_000

        /**
         * Part of the estimated rate that a request which joins the queue counts on. The estimate
         * is too high in a burst, and a refusal after a wait is worse than one at once.
         */
        private const val SAFE_PART = 0.7
        private val UNKNOWN_ROOM = ServiceRoom(0, Double.POSITIVE_INFINITY)
    }
}

/**
 * Creates the empty queue of a service whose servers' use is in [servers].
 *
 * @param random Spreads the times at which refused callers return.
 */
fun <T> plainQueue(servers: PlainServers, random: Random = Random.Default): PlainQueue<T> =
    PlainQueue(servers, random)
