package org.jacinthlink.decision.admission

/**
 * A request that waits for room on a path.
 *
 * @property priority Rank; 0 is the most urgent.
 * @property tokens Memory that it needs.
 * @property arrivedAtMs When its caller sent it.
 * @property targetMs Time within which its first event is on time.
 */
data class WaitingRequest<T>(
    val item: T,
    val priority: Int,
    val tokens: Long,
    val arrivedAtMs: Long,
    val targetMs: Long
)

/** Whether a request may wait. */
sealed interface QueueDecision {
    /** It waits. */
    data object Queued : QueueDecision

    /** It would wait in vain; its caller may come back after [retryAfterMs]. */
    data class Refused(val retryAfterMs: Long) : QueueDecision
}

/**
 * Requests that wait for room in the memory of the engines.
 *
 * Load pattern: a flood of one class, or the loss of a zone's path, while all others are full.
 * Requests that can still be on time go first, the more urgent class before the less urgent, the
 * older before the newer; those that are late already fill what is left. The first in line is never
 * passed by a smaller one, so that large prompts get their turn.
 */
class AdmissionQueue<T> internal constructor() {
    private val waiting = mutableListOf<WaitingRequest<T>>()
    private var freedTokensPerMs = 0.0
    private var freedSinceMs: Long? = null
    private var freedTokens = 0L
    private var returnAtMs = 0L

    /** Number of requests that wait. */
    val size: Int get() = waiting.size

    /**
     * Lets [request] wait unless those before it need too long.
     *
     * Refused callers come back one after the other, at the rate at which room becomes free.
     *
     * @param usualTokensPerMs Rate at which full paths free room; holds until more is measured.
     * @param freeTokens Room that paths have already; those who wait for it wait for prompts only.
     */
    fun offer(
        request: WaitingRequest<T>,
        nowMs: Long,
        usualTokensPerMs: Double,
        freeTokens: Long = 0
    ): QueueDecision {
        val aheadTokens = waiting.filter { it.priority <= request.priority }.sumOf { it.tokens }
        val tokensPerMs = maxOf(rate(nowMs), usualTokensPerMs)
        val neededTokens = (aheadTokens + request.tokens - freeTokens).coerceAtLeast(0)
        val waitMs = neededTokens / tokensPerMs
        if (waitMs > MAX_WAIT_MS) {
            val earliestMs = maxOf(returnAtMs, nowMs + waitMs.toLong())
            returnAtMs = earliestMs + (request.tokens / tokensPerMs).toLong()
            return QueueDecision.Refused((returnAtMs - nowMs).coerceIn(MIN_RETRY_MS, MAX_RETRY_MS))
        }
        waiting.add(request)
        return QueueDecision.Queued
    }

    /** Takes the next request if [hasRoom] for its tokens. */
    fun next(nowMs: Long, hasRoom: (tokens: Long) -> Boolean): WaitingRequest<T>? {
        val first = waiting.minWithOrNull(order(nowMs)) ?: return null
        if (!hasRoom(first.tokens)) return null
        waiting.remove(first)
        return first
    }

    /** Takes [item] out. */
    fun remove(item: T) {
        waiting.removeAll { it.item == item }
    }

    /** Takes out the requests whose callers are about to give up. */
    fun removeOverdue(nowMs: Long): List<WaitingRequest<T>> {
        val late = waiting.filter { nowMs - it.arrivedAtMs > MAX_WAIT_MS }
        waiting.removeAll(late)
        return late
    }

    /** Notes that a request has left [tokens] of memory. */
    fun onFreed(tokens: Long, nowMs: Long) {
        freedTokens += tokens
        rate(nowMs)
    }

    private fun rate(nowMs: Long): Double {
        val sinceMs = freedSinceMs ?: nowMs.also { freedSinceMs = it }
        val elapsedMs = nowMs - sinceMs
        if (elapsedMs >= RATE_WINDOW_MS) {
            freedTokensPerMs = freedTokens / elapsedMs.toDouble()
            freedTokens = 0
            freedSinceMs = nowMs
        }
        return freedTokensPerMs.coerceAtLeast(MIN_RATE)
    }

    private fun order(nowMs: Long): Comparator<WaitingRequest<T>> =
        compareBy(
            { nowMs - it.arrivedAtMs > it.targetMs - FIRST_EVENT_MS },
            { it.priority },
            { it.arrivedAtMs }
        )

    private companion object {
        /** Callers give up after two seconds without an event, and a full path takes 0.7 s. */
        const val MAX_WAIT_MS = 1_300L

        /** From sending a request to its first event on a busy path. */
        const val FIRST_EVENT_MS = 120L
        const val RATE_WINDOW_MS = 1_000L

        /** Tokens a ms of a router before it has measured any. */
        const val MIN_RATE = 4.0
        const val MIN_RETRY_MS = 300L
        const val MAX_RETRY_MS = 6_000L
    }
}

/** An empty waiting room. */
fun <T> admissionQueue(): AdmissionQueue<T> = AdmissionQueue()
