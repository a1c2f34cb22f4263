package org.jacinthlink.decision.admission

import kotlin.random.Random

/**
 * Queue of requests that wait until their service has room for them.
 *
 * The queue is designed for these load patterns: a flood of requests of one class or one workspace,
 * the loss of the path of an availability zone while all other paths are full, and callers that
 * come back after a refusal while the overload lasts. The more urgent rank goes first. Within a
 * rank, first attempts that can still be on time take turns with late ones and with callers that
 * come back: if those went first, an overload would make every request late, and if they went last,
 * they would be refused a second time. The workspace that has been given the least goes first. A
 * smaller request never overtakes the first one in this order, so that large requests are not
 * starved.
 *
 * A request is refused at once if it is expected to start after its caller has left; until then, a
 * late answer is worth more to the caller than a refusal. Refused callers return one after the
 * other.
 */
class AdmissionQueue<T> internal constructor(random: Random) {
    private val waiting = mutableListOf<Entry<T>>()
    private val shares = WorkspaceShares()
    private val returns = ReturnSchedule(random)
    private var lastTurn = Turn.ON_TIME

    /** Number of requests in the queue. */
    val size: Int get() = waiting.size

    /** The requests in the queue, by rank. */
    fun waitingLoads(nowMs: Long, answerMs: Long): Map<Int, RankLoad> =
        waiting.groupingBy { it.request.priority }.fold(RankLoad()) { sum, entry ->
            val tokens = entry.request.tokens
            when (entry.request.turn(nowMs, answerMs)) {
                Turn.ON_TIME -> sum + RankLoad(onTimeTokens = tokens)
                Turn.OTHER -> sum + RankLoad(otherTokens = tokens)
            }
        }

    /** Adds [request] to the queue unless it is expected to start too late. */
    fun offer(request: WaitingRequest<T>, nowMs: Long, room: ServiceRoom): QueueDecision {
        val entry = Entry(request, shares.of(request.workspace))
        entry.share.arrived(nowMs)
        val ahead = aheadOf(entry, nowMs, room)
        val waitMs = ahead.joinWaitMs(request, nowMs)
        if (waitMs > request.latestStartAtMs - nowMs) {
            return QueueDecision.Refused(waitMs, retryAfterMs(request, waitMs, nowMs, room))
        }
        entry.share.activate(request.tokens)
        waiting.add(entry)
        return QueueDecision.Queued(waitMs)
    }

    /** Time after which the caller of [request], which is refused, may return. */
    fun retryAfterMs(
        request: WaitingRequest<T>,
        waitMs: Double,
        nowMs: Long,
        room: ServiceRoom
    ): Long {
        val ownTokensPerMs = room.tokensPerMs * room.ownPart
        val intervalMs = maxOf(request.tokens / ownTokensPerMs, room.rateWait.intervalMs)
        return returns.retryAfterMs(nowMs, waitMs, intervalMs, request.maxRetryAfterMs)
    }

    /**
     * Removes and returns the next request if [hasRoom] allows it; returns null otherwise.
     *
     * @param answerMs Expected time from the start of a request to the first part of its answer.
     */
    fun next(
        nowMs: Long,
        answerMs: Long,
        hasRoom: (WaitingRequest<T>) -> Boolean
    ): WaitingRequest<T>? {
        val first = waiting.minWithOrNull(order(nowMs, answerMs)) ?: return null
        if (!hasRoom(first.request)) return null
        take(first)
        first.share.charge(first.request.tokens)
        lastTurn = first.request.turn(nowMs, answerMs)
        return first.request
    }

    /** Removes the requests whose items match [isRemoved]. */
    fun removeIf(isRemoved: (T) -> Boolean) {
        waiting.filter { isRemoved(it.request.item) }.forEach(::take)
    }

    /**
     * Removes and returns the requests that start too late, or are expected to by a wide margin
     * because [room] has become smaller. A short burst of more urgent requests is no reason.
     */
    fun removeOverdue(nowMs: Long, room: ServiceRoom): List<WaitingRequest<T>> {
        val overdue = ArrayList<Entry<T>>()
        val ahead = RequestsAhead(room.copy(arrivingTokensPerMs = emptyMap()))
        waiting.sortedWith(order(nowMs, room.answerMs)).forEach { entry ->
            val request = entry.request
            val leftMs = request.latestStartAtMs - nowMs
            val turn = request.turn(nowMs, room.answerMs)
            val isHopeless = ahead.waitMs(request, turn) > leftMs * HOPELESS_FACTOR
            if (leftMs <= 0 || isHopeless) {
                overdue.add(entry)
            } else {
                ahead.add(request.priority, turn, request.tokens.toDouble())
            }
        }
        overdue.forEach(::take)
        return overdue.map { it.request }
    }

    private fun take(entry: Entry<T>) {
        waiting.remove(entry)
        entry.share.deactivate(entry.request.tokens)
    }

    /** The waiting requests that may start before [entry], by the shares of the workspaces. */
    private fun aheadOf(entry: Entry<T>, nowMs: Long, room: ServiceRoom): RequestsAhead {
        val ahead = RequestsAhead(room)
        val ownTokens = entry.share.tokensIfQueued
        waiting.forEach { other ->
            val request = other.request
            val turn = request.turn(nowMs, room.answerMs)
            val isSameRank = request.priority == entry.request.priority
            val isOther = other.share !== entry.share
            val part = if (isSameRank && isOther) other.share.partBefore(ownTokens) else 1.0
            ahead.add(request.priority, turn, request.tokens * part)
        }
        return ahead
    }

    private fun order(nowMs: Long, answerMs: Long): Comparator<Entry<T>> =
        compareBy(
            { it.request.priority },
            { it.request.turn(nowMs, answerMs) == lastTurn },
            { it.share.startedTokens },
            { it.request.arrivedAtMs }
        )

    private class Entry<T>(val request: WaitingRequest<T>, val share: WorkspaceShare)

    private companion object {
        /**
         * A request whose expected wait is this many times the time left is refused. Waits vary
         * widely, so a smaller factor would refuse requests that start in time.
         */
        const val HOPELESS_FACTOR = 8
    }
}

/**
 * Creates an empty queue.
 *
 * @param random Spreads the times at which refused callers return.
 */
fun <T> admissionQueue(random: Random = Random.Default): AdmissionQueue<T> = AdmissionQueue(random)
