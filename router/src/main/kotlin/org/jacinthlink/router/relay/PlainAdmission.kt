package org.jacinthlink.router.relay

import org.jacinthlink.decision.admission.WaitingRequest
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.ServerStart
import org.jacinthlink.decision.fleet.ServiceDefinition
import org.jacinthlink.decision.plain.AttemptEnd
import org.jacinthlink.decision.plain.PlainDecision
import org.jacinthlink.decision.plain.PlainPeers
import org.jacinthlink.decision.plain.PlainQueue
import org.jacinthlink.decision.plain.plainQueue
import org.jacinthlink.router.peers.ServiceBacklog
import org.jacinthlink.router.peers.toGossip
import org.jacinthlink.transport.EventLoop

/** Queues the requests of plain services until a server has a place for them. */
internal class PlainAdmission(
    private val loop: EventLoop,
    private val loadBalancer: PlainLoadBalancer,
    private val telemetry: Telemetry,
    private val clockMs: () -> Long
) {
    private val queues = HashMap<String, ServiceQueue>()
    private var peers = PeerBacklogs()

    /** Requests that arrive, wait and start at this router, for its peers. */
    val backlogs: List<ServiceBacklog> get() = queues.values.map { it.toBacklog(clockMs()) }

    /** Replaces what is known of the queues of the peers, and of their requests [inFlight]. */
    fun updatePeers(backlogs: PeerBacklogs, inFlight: Map<ServerStart, Int>) {
        peers = backlogs
        val peerCount = maxOf(backlogs.heardCount, backlogs.knownCount)
        loadBalancer.servers.updatePeers(inFlight, peerCount, clockMs())
    }

    /**
     * Starts [relay] if a server has a place for it. Otherwise queues it, or refuses it if it would
     * start too late.
     */
    fun admit(relay: PlainRelay, incoming: RelayRequest) {
        val queue = queueOf(incoming.service)
        val nowMs = clockMs()
        if (queue.waiting.size > 0) queue.serve(nowMs)
        queue.admit(relay, incoming, nowMs)
    }

    /** Removes [relay] from the queue of [service]. */
    fun remove(relay: PlainRelay, service: ServiceDefinition) {
        queues[service.name]?.waiting?.removeIf { it.relay === relay }
    }

    /** Records that an attempt at [server] of [service] ended, which leaves a place. */
    fun ended(service: ServiceDefinition, server: BackendServer, end: AttemptEnd) {
        val queue = queueOf(service)
        val isWaiting = queue.waiting.size > 0
        loadBalancer.ended(server, end, isWaiting, clockMs())
        if (end is AttemptEnd.Answered) queue.waiting.answered(end.tookMs)
        // The relay that ends an attempt may be about to send the next one.
        if (isWaiting) loop.execute { queue.serve(clockMs()) }
    }

    /**
     * Refuses the requests that would start too late, and starts those for which a server has a
     * place now. It is called periodically.
     */
    fun tick() {
        val nowMs = clockMs()
        queues.values.toList().forEach { it.tick(nowMs) }
        loadBalancer.tick()
    }

    private fun queueOf(service: ServiceDefinition): ServiceQueue =
        queues.getOrPut(service.name) { ServiceQueue(service.name).also { it.registerGauges() } }

    private class WaitingCall(val relay: PlainRelay, val incoming: RelayRequest)

    private inner class ServiceQueue(private val name: String) {
        val waiting: PlainQueue<WaitingCall> = plainQueue(loadBalancer.servers)

        private val plainPeers: PlainPeers
            get() {
                val load = peers.byService[name] ?: PlainPeers().load
                return PlainPeers(load, peers.heardCount, peers.knownCount)
            }

        fun registerGauges() {
            val metrics = telemetry.metrics
            metrics.serviceGauge("jacinthlink.plain.waiting", name) { waiting.size }
            metrics.serviceGauge("jacinthlink.plain.limit", name) { places(clockMs()).limit }
            metrics.serviceGauge("jacinthlink.plain.in.flight", name) { places(clockMs()).inFlight }
        }

        fun admit(relay: PlainRelay, incoming: RelayRequest, nowMs: Long) {
            val request = toWaiting(relay, incoming, nowMs)
            when (val decision = waiting.admit(request, usable(nowMs), plainPeers, nowMs)) {
                PlainDecision.Start -> start(request, nowMs)
                PlainDecision.Queued -> Unit
                is PlainDecision.Refused -> {
                    val waitMs = decision.waitMs
                    refuse(request, "queue full", decision.retryAfterMs, waitMs, nowMs)
                }
            }
        }

        fun tick(nowMs: Long) {
            waiting.tick(plainPeers, nowMs)
            serve(nowMs)
            waiting.removeOverdue(usable(nowMs), plainPeers, nowMs)
                .forEach { (late, retryAfterMs) ->
                    refuse(late, "waited in vain", retryAfterMs, 0.0, nowMs)
                }
        }

        /** If no server is left, the relays refuse their requests and name the cause. */
        fun serve(nowMs: Long) {
            while (waiting.size > 0) {
                val ready = loadBalancer.ready(name)
                val usable = loadBalancer.usable(ready, nowMs)
                val next =
                    when {
                        ready.isEmpty() -> waiting.nextWithoutServer(nowMs)
                        usable.isEmpty() -> null
                        else -> waiting.next(usable, plainPeers, nowMs)
                    } ?: return
                logEndOfWait(next, "started", null, 0.0, nowMs)
                start(next, nowMs)
            }
        }

        fun toBacklog(nowMs: Long): ServiceBacklog {
            val startedPerS = (waiting.startedTokensPerMs(nowMs) * MS_PER_S).toLong()
            return ServiceBacklog(
                name,
                startedPerS,
                waiting.ranks(nowMs).map { (rank, load) -> load.toGossip(rank) }
            )
        }

        private fun usable(nowMs: Long) = loadBalancer.usable(loadBalancer.ready(name), nowMs)

        private fun places(nowMs: Long) =
            loadBalancer.servers.places(loadBalancer.ready(name), ownPart = 0.0, nowMs)

        private fun toWaiting(
            relay: PlainRelay,
            incoming: RelayRequest,
            nowMs: Long
        ): WaitingRequest<WaitingCall> {
            val limitMs = incoming.endsAtMs - incoming.startedAtMs
            val reservedMs = waiting.responseMs.coerceAtMost(limitMs / MAX_RESPONSE_DIVISOR)
            return WaitingRequest(
                item = WaitingCall(relay, incoming),
                workspace = incoming.workspace.orEmpty(),
                priority = incoming.priority,
                tokens = PlainQueue.REQUEST_TOKENS,
                arrivedAtMs = incoming.startedAtMs,
                spentMs = incoming.spentMs,
                targetMs = incoming.route.targetLatencyMs,
                latestStartAtMs = incoming.endsAtMs - reservedMs,
                maxRetryAfterMs = (incoming.endsAtMs - nowMs) / RETRY_PATIENCE_DIVISOR
            )
        }

        private fun start(request: WaitingRequest<WaitingCall>, nowMs: Long) {
            val waitedMs = nowMs - request.arrivedAtMs
            telemetry.metrics.plainWaitEnded(request.priority, "started", waitedMs)
            request.item.relay.admitted()
        }

        private fun refuse(
            request: WaitingRequest<WaitingCall>,
            cause: String,
            retryAfterMs: Long,
            expectedMs: Double,
            nowMs: Long
        ) {
            val waitedMs = nowMs - request.arrivedAtMs
            telemetry.metrics.plainWaitEnded(request.priority, cause, waitedMs)
            logEndOfWait(request, cause, retryAfterMs, expectedMs, nowMs)
            request.item.relay.refused(cause, retryAfterMs)
        }

        private fun logEndOfWait(
            request: WaitingRequest<WaitingCall>,
            outcome: String,
            retryAfterMs: Long?,
            expectedMs: Double,
            nowMs: Long
        ) {
            val places = places(nowMs)
            telemetry.log.event(
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
                "in_flight" to places.inFlight,
                "limit" to places.limit,
                "peers_age_ms" to peers.ageMs
            )
        }
    }

    private companion object {
        /** At most this part of a caller's time is reserved for the run. */
        const val MAX_RESPONSE_DIVISOR = 3

        /** Callers come back after a third of the time that they have left at most. */
        const val RETRY_PATIENCE_DIVISOR = 3
        const val MAX_LOGGED_MS = 1_000_000.0
        const val MS_PER_S = 1_000
    }
}
