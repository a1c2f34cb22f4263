package org.jacinthlink.decision.admission

import kotlin.math.exp

/**
 * Requests for a service that arrive and start at this router.
 *
 * Load pattern: a part of the fleet is lost under load. The rate that full, whole paths would have
 * is far too high then. The rate of starts shows what there is, but only while requests wait;
 * otherwise it shows what callers want. So the estimate passes from the former to the latter while
 * requests wait, and back when none does.
 */
class ServiceLoad internal constructor() {
    private val started = TokenRate(WINDOW_MS)
    private val arrived = HashMap<Int, TokenRate>()
    private var waitingShare = 0.0
    private var updatedAtMs: Long? = null

    /** Records that a request of [tokens] has arrived. */
    fun arrived(priority: Int, tokens: Long, nowMs: Long) =
        arrived.getOrPut(priority) { TokenRate(WINDOW_MS) }.add(tokens, nowMs)

    /** Records that a request of [tokens] starts. */
    fun started(tokens: Long, nowMs: Long) = started.add(tokens, nowMs)

    /** Records whether requests wait at any router; called periodically. */
    fun update(isWaiting: Boolean, nowMs: Long) {
        val kept = exp(-(nowMs - (updatedAtMs ?: nowMs)) / WINDOW_MS)
        updatedAtMs = nowMs
        waitingShare = waitingShare * kept + if (isWaiting) 1 - kept else 0.0
    }

    /** Rate at which requests start at this router, in tokens per ms. */
    fun startedTokensPerMs(nowMs: Long): Double = started.perMs(nowMs)

    /** Rate at which requests arrive at this router, by rank, in tokens per ms. */
    fun arrivingTokensPerMs(
        nowMs: Long
    ): Map<Int, Double> = arrived.mapValues { it.value.perMs(nowMs) }

    /**
     * What all routers together can start.
     *
     * @param freeTokens Tokens of requests that fit into the room that is free now.
     * @param usualTokensPerMs Rate of all paths in use if they are full.
     */
    fun room(
        freeTokens: Long,
        usualTokensPerMs: Double,
        peers: PeerLoad,
        nowMs: Long
    ): ServiceRoom {
        val own = arrivingTokensPerMs(nowMs)
        val arriving = (own.keys + peers.ranks.keys).associateWith {
            (own[it] ?: 0.0) + (peers.ranks[it]?.arrivingTokensPerMs ?: 0.0)
        }
        return ServiceRoom(
            freeTokens = (freeTokens * (1 - waitingShare)).toLong(),
            tokensPerMs = tokensPerMs(usualTokensPerMs, peers.startedTokensPerMs, nowMs),
            arrivingTokensPerMs = arriving,
            peers = peers
        )
    }

    private fun tokensPerMs(usualTokensPerMs: Double, peerTokensPerMs: Double, nowMs: Long): Double {
        if (usualTokensPerMs.isInfinite()) return usualTokensPerMs
        val measured = started.perMs(nowMs) + peerTokensPerMs
        val expected = usualTokensPerMs * (1 - waitingShare) + measured * waitingShare
        return maxOf(expected, measured, MIN_TOKENS_PER_MS)
    }

    private companion object {
        /** Covers the starts of several requests at a small router. */
        const val WINDOW_MS = 700.0

        /** A service that starts nothing for a while may go on at any moment. */
        const val MIN_TOKENS_PER_MS = 1.0
    }
}

/** Creates a load without requests. */
fun serviceLoad(): ServiceLoad = ServiceLoad()
