package org.jacinthlink.decision.admission

/**
 * Wait of requests at servers that take a limited rate of requests.
 *
 * @property nextMs Time until the next request may be sent.
 * @property requestsPerMs Rate at which requests may be sent after that.
 */
data class RateWait(val nextMs: Long, val requestsPerMs: Double) {
    /** Time between two requests, in ms; infinite if none may be sent. */
    val intervalMs: Double get() = 1 / requestsPerMs

    /** Wait of a request with [ahead] requests before it, in ms. */
    fun waitMs(ahead: Int): Double =
        when (ahead) {
            0 -> nextMs.toDouble()
            else -> nextMs + ahead * intervalMs
        }
}

/** There is no limit on the rate of requests. */
val NO_RATE_WAIT = RateWait(0, Double.POSITIVE_INFINITY)

/**
 * Requests of one rank.
 *
 * @property onTimeTokens Tokens of the waiting requests that can still be on time.
 * @property otherTokens Tokens of the other waiting requests.
 * @property arrivingTokensPerMs Rate at which requests arrive.
 */
data class RankLoad(
    val onTimeTokens: Long = 0,
    val otherTokens: Long = 0,
    val arrivingTokensPerMs: Double = 0.0
) {
    /** Tokens of all waiting requests. */
    val waitingTokens: Long get() = onTimeTokens + otherTokens

    /** The sum of both loads. */
    operator fun plus(other: RankLoad): RankLoad =
        RankLoad(
            onTimeTokens + other.onTimeTokens,
            otherTokens + other.otherTokens,
            arrivingTokensPerMs + other.arrivingTokensPerMs
        )
}

/**
 * Requests for a service that the peers have reported.
 *
 * @property ranks Their requests, by rank.
 * @property startedTokensPerMs Rate at which requests start at them.
 */
data class PeerLoad(val ranks: Map<Int, RankLoad>, val startedTokensPerMs: Double) {
    /** Tokens of all waiting requests. */
    val waitingTokens: Long get() = ranks.values.sumOf { it.waitingTokens }

    /** True if requests that are more urgent than [priority] wait at a peer. */
    fun hasMoreUrgent(priority: Int): Boolean =
        ranks.any { (rank, load) -> rank < priority && load.waitingTokens > 0 }
}

/** No peer has reported a request. */
val NO_PEER_LOAD = PeerLoad(emptyMap(), 0.0)

/**
 * What all routers together can start of the requests for a service.
 *
 * @property freeTokens Tokens of requests that fit into the room that is free now.
 * @property tokensPerMs Rate at which requests start while others wait.
 * @property arrivingTokensPerMs Rate at which requests arrive at all routers, by rank.
 * @property peers Requests that wait at other routers.
 * @property ownPart Part of the rate that the callers of this router can count on.
 * @property answerMs Expected time from the start of a request to the first part of its answer.
 */
data class ServiceRoom(
    val freeTokens: Long,
    val tokensPerMs: Double,
    val arrivingTokensPerMs: Map<Int, Double> = emptyMap(),
    val peers: PeerLoad = NO_PEER_LOAD,
    val ownPart: Double = 1.0,
    val answerMs: Long = 0,
    val rateWait: RateWait = NO_RATE_WAIT
) {
    /** Rate that is left when all requests that are more urgent than [priority] have started. */
    internal fun tokensPerMsFor(priority: Int): Double =
        tokensPerMs - arrivingTokensPerMs.entries.sumOf { (rank, rate) ->
            if (rank < priority) rate else 0.0
        }

    /** Rate that is left when also all new requests of [priority] have started. */
    internal fun tokensPerMsBehind(priority: Int): Double =
        tokensPerMsFor(priority) - (arrivingTokensPerMs[priority] ?: 0.0)
}
