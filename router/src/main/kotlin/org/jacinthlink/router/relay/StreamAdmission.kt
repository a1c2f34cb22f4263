package org.jacinthlink.router.relay

import java.util.Locale
import org.jacinthlink.decision.admission.NO_PEER_LOAD
import org.jacinthlink.decision.admission.PeerLoad
import org.jacinthlink.decision.admission.QueueDecision
import org.jacinthlink.decision.admission.RankLoad
import org.jacinthlink.decision.admission.ServiceRoom
import org.jacinthlink.decision.admission.WaitingRequest
import org.jacinthlink.decision.admission.admissionQueue
import org.jacinthlink.decision.admission.serviceLoad
import org.jacinthlink.decision.fleet.ServiceDefinition
import org.jacinthlink.decision.paths.MAX_UTILIZATION
import org.jacinthlink.decision.retry.budgetPart
import org.jacinthlink.router.peers.ServiceBacklog
import org.jacinthlink.router.peers.toGossip

/**
 * Requests that the peers have reported.
 *
 * @property byService Sum over the peers with recent messages.
 * @property heardCount Number of peers with recent messages.
 * @property knownCount Number of peers that may be running.
 * @property ageMs Age of the oldest of the messages.
 */
internal class PeerBacklogs(
    val byService: Map<String, PeerLoad> = emptyMap(),
    val heardCount: Int = 0,
    val knownCount: Int = 0,
    val ageMs: Long = 0
)

/** Queues the first attempts of streams until a path has capacity for them. */
internal class StreamAdmission(
    private val paths: PathTable,
    private val failureDetector: FailureDetector,
    private val telemetry: Telemetry,
    private val clockMs: () -> Long
) {
    private val queues = HashMap<String, ServiceQueue>()
    private var peers = PeerBacklogs()

    /** Number of queued streams. */
    val waitingCount: Int get() = queues.values.sumOf { it.waiting.size }

    /** Streams that arrive, wait and start at this router, for its peers. */
    val backlogs: List<ServiceBacklog>
        get() = queues.map { (name, queue) -> queue.toBacklog(name, clockMs()) }

    /** Replaces what is known of the queues of the peers. */
    fun updatePeers(backlogs: PeerBacklogs) {
        peers = backlogs
    }

    /**
     * Starts [stream] if a path has capacity for it. Otherwise queues it, or refuses it if it would
     * start too late.
     */
    fun admit(stream: StreamRelay, incoming: RelayRequest) {
        val service = incoming.service
        val queue = queues.getOrPut(service.name) { ServiceQueue(service) }
        queue.service = service
        val nowMs = clockMs()
        val request = queue.toWaiting(stream, incoming, nowMs)
        queue.recordArrival(request, nowMs)
        if (queue.waiting.size == 0 && queue.hasCapacity(request, nowMs)) {
            queue.start(request, nowMs)
            return
        }
        val room = queue.room(nowMs)
        val pausedMs = paths.pausedMs(service, failureDetector.failed, nowMs)
        if (nowMs + pausedMs > request.arrivedAtMs + MAX_PAUSE_WAIT_MS) {
            queue.refuse(request, "servers paused", pausedMs, pausedMs.toDouble(), room, nowMs)
            return
        }
        val decision = queue.waiting.offer(request, nowMs, room)
        if (decision is QueueDecision.Refused) {
            val retryAfterMs = decision.retryAfterMs
            queue.refuse(request, "queue full", retryAfterMs, decision.waitMs, room, nowMs)
        }
    }

    /** Removes [stream] from its queue. */
    fun remove(stream: StreamRelay, service: ServiceDefinition) {
        queues[service.name]?.waiting?.removeIf { it.stream === stream }
    }

    /**
     * Refuses the streams that would start too late, and starts those for which a path has capacity
     * now. It is called periodically.
     */
    fun tick() {
        val nowMs = clockMs()
        // A refusal may let the caller's next request in, which may add a queue.
        queues.values.toList().forEach { queue ->
            val isWaiting = queue.waiting.size > 0 || queue.peerLoad.waitingTokens > 0
            queue.load.update(isWaiting, nowMs)
            if (queue.waiting.size > 0) serve(queue, nowMs)
        }
    }

    private fun serve(queue: ServiceQueue, nowMs: Long) {
        val room = queue.room(nowMs)
        queue.waiting.removeOverdue(nowMs, room).forEach {
            val retryAfterMs = queue.waiting.retryAfterMs(it, 0.0, nowMs, room)
            queue.refuse(it, "waited in vain", retryAfterMs, 0.0, room, nowMs)
        }
        while (true) {
            val next =
                queue.waiting.next(nowMs, room.answerMs) { queue.hasCapacity(it, nowMs) } ?: break
            queue.start(next, nowMs)
            queue.logEndOfWait(next, "started", null, 0.0, room, nowMs)
        }
    }

    private class WaitingStream(val stream: StreamRelay, val incoming: RelayRequest)

    private inner class ServiceQueue(var service: ServiceDefinition) {
        val waiting = admissionQueue<WaitingStream>()
        val load = serviceLoad()

        val peerLoad: PeerLoad get() = peers.byService[service.name] ?: NO_PEER_LOAD

        private val answerMs: Long get() = paths.firstEventTime.boundMs

        fun toWaiting(
            stream: StreamRelay,
            incoming: RelayRequest,
            nowMs: Long
        ): WaitingRequest<WaitingStream> {
            val patienceMs = incoming.route.eventPatienceMs
            val callerLeavesAtMs = minOf(incoming.startedAtMs + patienceMs, incoming.endsAtMs)
            val maxAnswerMs = (callerLeavesAtMs - incoming.startedAtMs) / MAX_ANSWER_DIVISOR
            return WaitingRequest(
                item = WaitingStream(stream, incoming),
                workspace = incoming.workspace.orEmpty(),
                priority = incoming.priority,
                tokens = incoming.expectedTokens,
                arrivedAtMs = incoming.startedAtMs,
                spentMs = incoming.spentMs,
                targetMs = incoming.route.targetLatencyMs,
                latestStartAtMs = callerLeavesAtMs - answerMs.coerceAtMost(maxAnswerMs),
                maxRetryAfterMs = (incoming.endsAtMs - nowMs) / RETRY_PATIENCE_DIVISOR
            )
        }

        /** Callers may name any size, and one that fits on no path must not distort the rates. */
        fun recordArrival(request: WaitingRequest<WaitingStream>, nowMs: Long) {
            val usableTokens = paths.usableTokens(service, failureDetector.failed)
            load.arrived(request.priority, request.tokens.coerceAtMost(usableTokens), nowMs)
        }

        fun hasCapacity(request: WaitingRequest<WaitingStream>, nowMs: Long): Boolean {
            val yields = peerLoad.hasMoreUrgent(request.priority)
            val maxUtilization = if (yields) MAX_UTILIZATION - URGENT_RESERVE else MAX_UTILIZATION
            val failed = failureDetector.failed
            return paths.hasCapacity(service, failed, request.tokens, nowMs, maxUtilization)
        }

        fun room(nowMs: Long): ServiceRoom {
            val failed = failureDetector.failed
            val freeTokens = paths.freeTokens(service, failed)
            return load.room(freeTokens, usualTokensPerMs(failed), peerLoad, nowMs)
                .copy(
                    ownPart = ownPart(nowMs),
                    answerMs = answerMs,
                    rateWait = paths.rateWait(service, failed, nowMs)
                )
        }

        /** It is infinite before paths are known, so that streams are queued and not refused. */
        private fun usualTokensPerMs(failed: Set<String>): Double {
            val usableTokens = paths.usableTokens(service, failed)
            return if (usableTokens ==
                0L
            ) {
                Double.POSITIVE_INFINITY
            } else {
                usableTokens / USUAL_STREAM_MS
            }
        }

        /** This router's part of the requests that arrive at all routers. */
        private fun ownPart(nowMs: Long): Double {
            val usualTokens = service.engine?.usualTokens ?: 1
            val ownTokensPerMs = load.arrivingTokensPerMs(nowMs).values.sum()
            val peerTokensPerMs = peerLoad.ranks.values.sumOf { it.arrivingTokensPerMs }
            return budgetPart(
                (ownTokensPerMs * MS_PER_S / usualTokens).toInt(),
                (peerTokensPerMs * MS_PER_S / usualTokens).toInt(),
                peers.heardCount,
                peers.knownCount
            )
        }

        fun toBacklog(name: String, nowMs: Long): ServiceBacklog {
            val waiting = waiting.waitingLoads(nowMs, answerMs)
            val arriving = load.arrivingTokensPerMs(nowMs)
            val ranks = (waiting.keys + arriving.keys).map { rank ->
                val arrivingPerMs = RankLoad(arrivingTokensPerMs = arriving[rank] ?: 0.0)
                ((waiting[rank] ?: RankLoad()) + arrivingPerMs).toGossip(rank)
            }
            val startedPerS = (load.startedTokensPerMs(nowMs) * MS_PER_S).toLong()
            return ServiceBacklog(name, startedPerS, ranks)
        }

        fun start(request: WaitingRequest<WaitingStream>, nowMs: Long) {
            load.started(request.tokens, nowMs)
            telemetry.metrics.waitEnded(request.priority, "started", nowMs - request.arrivedAtMs)
            request.item.stream.admitted()
        }

        fun refuse(
            request: WaitingRequest<WaitingStream>,
            cause: String,
            retryAfterMs: Long,
            expectedMs: Double,
            room: ServiceRoom,
            nowMs: Long
        ) {
            telemetry.metrics.waitEnded(request.priority, cause, nowMs - request.arrivedAtMs)
            logEndOfWait(request, cause, retryAfterMs, expectedMs, room, nowMs)
            request.item.stream.refused(cause, retryAfterMs)
        }

        fun logEndOfWait(
            request: WaitingRequest<WaitingStream>,
            outcome: String,
            retryAfterMs: Long?,
            expectedMs: Double,
            room: ServiceRoom,
            nowMs: Long
        ) = telemetry.log.event(
            "wait_ended",
            "request" to request.item.incoming.id,
            "route" to request.item.incoming.route.name,
            "outcome" to outcome,
            "rank" to request.priority,
            "workspace" to request.workspace,
            "returned" to request.hasReturned,
            "waited_ms" to nowMs - request.arrivedAtMs,
            "expected_ms" to expectedMs.coerceAtMost(MAX_LOGGED_MS).toLong(),
            "retry_after_ms" to retryAfterMs,
            "waiting" to waiting.size,
            "peer_tokens" to room.peers.waitingTokens,
            "free_tokens" to room.freeTokens,
            "tokens_per_s" to (room.tokensPerMs * MS_PER_S).toLong(),
            "part" to String.format(Locale.ROOT, "%.3f", room.ownPart),
            "peers_age_ms" to peers.ageMs
        )
    }

    private companion object {
        /** A stream that would wait longer for the end of a pause is refused at once. */
        const val MAX_PAUSE_WAIT_MS = 1_000L

        /** Duration of a stream of usual length, from its first attempt to its end. */
        const val USUAL_STREAM_MS = 4_000.0

        /** At most this part of the time that a caller stays is kept for the answer. */
        const val MAX_ANSWER_DIVISOR = 3

        /** Callers come back after a third of the time that they have left at most. */
        const val RETRY_PATIENCE_DIVISOR = 3

        /**
         * Share of the capacity that is left to more urgent requests that wait at peers. It covers
         * what other routers start until the next gossip.
         */
        const val URGENT_RESERVE = 0.06
        const val MAX_LOGGED_MS = 1_000_000.0
        const val MS_PER_S = 1_000
    }
}
