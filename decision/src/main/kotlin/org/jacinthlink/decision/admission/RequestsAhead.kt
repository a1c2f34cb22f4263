package org.jacinthlink.decision.admission

/** The two kinds of requests of a rank that take turns. */
internal enum class Turn {
    /** First attempts that can still be on time. */
    ON_TIME,

    /** Callers that come back, and first attempts that have become late. */
    OTHER
}

/**
 * Tokens of waiting requests that may start before another one.
 *
 * Each router counts on its part of the rate at which requests start at all routers, by its part of
 * the arrivals, and on its own queue: what waits at the peers is known too late, and if all routers
 * counted with it, all would accept requests at one time and refuse them at the next. Only the more
 * urgent requests of the peers count, because they go first anywhere.
 */
internal class RequestsAhead(private val room: ServiceRoom) {
    private val tokens = HashMap<Int, DoubleArray>()
    private val countByRank = HashMap<Int, Int>()

    /** Adds [requestTokens] of a request that waits at this router. */
    fun add(priority: Int, turn: Turn, requestTokens: Double) {
        tokensOf(priority)[turn.ordinal] += requestTokens
        countByRank.merge(priority, 1, Int::plus)
    }

    /** Expected wait of [request] if it joins the queue behind these, in ms. */
    fun <T> joinWaitMs(request: WaitingRequest<T>, nowMs: Long): Double {
        val onTimeMs = waitMs(request, Turn.ON_TIME)
        val startsAtMs = nowMs + onTimeMs.coerceAtMost(MAX_WAIT_MS).toLong()
        return when (request.turn(startsAtMs, room.answerMs)) {
            Turn.ON_TIME -> onTimeMs
            // By the time that it starts, those ahead that can be on time now have started, too.
            Turn.OTHER -> {
                val before = urgentTokens(request.priority) + tokensOf(request.priority).sum()
                val tokensPerMs = room.tokensPerMsFor(request.priority)
                maxOf(
                    waitMs(before, tokensPerMs, request.tokens),
                    room.rateWait.waitMs(countBefore(request.priority))
                )
            }
        }
    }

    /** Expected wait of [request], which takes [turn] behind these, in ms. */
    fun <T> waitMs(request: WaitingRequest<T>, turn: Turn): Double {
        val priority = request.priority
        val own = tokensOf(priority)[turn.ordinal]
        val others = tokensOf(priority).sum() - own
        val tokensPerMs = room.tokensPerMsFor(priority)
        // While more arrives than can start, there are always others whose turn it is.
        val hasOthers = room.tokensPerMsBehind(priority) <= 0
        val before = urgentTokens(priority) + if (hasOthers) own else own + minOf(own, others)
        val turnsPerMs = if (hasOthers) tokensPerMs / Turn.entries.size else tokensPerMs
        return maxOf(
            waitMs(before, turnsPerMs, request.tokens),
            room.rateWait.waitMs(countBefore(request.priority))
        )
    }

    /** Number of requests at this router that are not less urgent than [priority]. */
    private fun countBefore(priority: Int): Int =
        countByRank.entries.sumOf { (rank, count) -> if (rank <= priority) count else 0 }

    private fun urgentTokens(priority: Int): Double =
        tokens.entries.sumOf { (rank, sums) -> if (rank < priority) sums.sum() else 0.0 } +
            room.peers.ranks.entries.sumOf { (rank, load) ->
                if (rank < priority) load.waitingTokens * room.ownPart else 0.0
            }

    /** On average, the next start comes when half of its interval has passed. */
    private fun waitMs(before: Double, tokensPerMs: Double, ownTokens: Long): Double {
        val missingTokens = before + ownTokens / 2.0 - room.freeTokens * room.ownPart
        return when {
            missingTokens <= 0 -> 0.0
            tokensPerMs <= 0 -> Double.POSITIVE_INFINITY
            else -> missingTokens / (tokensPerMs * room.ownPart)
        }
    }

    private fun tokensOf(priority: Int): DoubleArray =
        tokens.getOrPut(priority) { DoubleArray(Turn.entries.size) }

    private companion object {
        /** Longer waits make every request late. */
        const val MAX_WAIT_MS = 1_000_000.0
    }
}
