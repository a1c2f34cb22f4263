package org.jacinthlink.router.relay

import org.jacinthlink.decision.admission.QueueDecision
import org.jacinthlink.decision.admission.WaitingRequest
import org.jacinthlink.decision.admission.admissionQueue
import org.jacinthlink.decision.fleet.ServiceDefinition

/** Queues the first attempts of streams until a path has capacity for them. */
internal class StreamAdmission(
    private val paths: PathTable,
    private val failureDetector: FailureDetector,
    private val routerCount: () -> Int,
    private val clockMs: () -> Long
) {
    private val queues = HashMap<String, ServiceQueue>()

    /** Number of queued streams. */
    val waitingCount: Int get() = queues.values.sumOf { it.waiting.size }

    /**
     * Starts [stream] if a path has capacity for it. Otherwise queues it, or refuses it if it would
     * time out in the queue.
     */
    fun admit(stream: StreamRelay, incoming: RelayRequest) {
        val service = incoming.service
        val queue = queues.getOrPut(service.name) { ServiceQueue(service) }
        queue.service = service
        val nowMs = clockMs()
        if (queue.waiting.size == 0 && hasCapacity(service, stream.tokens, nowMs)) {
            stream.admitted()
            return
        }
        val request = with(incoming) {
            WaitingRequest(stream, priority, expectedTokens, startedAtMs, route.targetLatencyMs)
        }
        val pausedMs = paths.pausedMs(service, failureDetector.failed, nowMs)
        if (nowMs + pausedMs > request.arrivedAtMs + MAX_PAUSE_WAIT_MS) {
            stream.refused("servers paused", pausedMs)
            return
        }
        val decision =
            queue.waiting.offer(
                request,
                nowMs,
                usualTokensPerMs(service),
                freeTokens(service),
                paths.rateWait(service, failureDetector.failed, nowMs)
            )
        when (decision) {
            QueueDecision.Queued -> Unit
            is QueueDecision.Refused -> stream.refused("queue full", decision.retryAfterMs)
        }
    }

    /** Removes [stream] from its queue. */
    fun remove(stream: StreamRelay, service: ServiceDefinition) {
        queues[service.name]?.waiting?.remove(stream)
    }

    /** Records that a stream has released [tokens] of the memory of a path. */
    fun onFreed(service: ServiceDefinition, tokens: Long) {
        queues.getOrPut(service.name) { ServiceQueue(service) }.waiting.onFreed(tokens, clockMs())
    }

    /**
     * Refuses the streams that have waited too long, and starts those for which a path has capacity
     * now. It is called periodically.
     */
    fun tick() {
        val nowMs = clockMs()
        queues.values.filter { it.waiting.size > 0 }.forEach { queue ->
            queue.waiting.removeOverdue(nowMs).forEach {
                it.item.refused("waited in vain", RETRY_AFTER_MS)
            }
            while (true) {
                val next =
                    queue.waiting.next(nowMs) { hasCapacity(queue.service, it, nowMs) } ?: break
                next.item.admitted()
            }
        }
    }

    /**
     * Rate at which this router's share of fully used paths releases memory, in tokens per ms. It
     * is infinite before paths are known, so that streams are queued and not refused.
     */
    private fun usualTokensPerMs(service: ServiceDefinition): Double {
        val usableTokens = paths.usableTokens(service, failureDetector.failed)
        if (usableTokens == 0L) return Double.POSITIVE_INFINITY
        return usableTokens / USUAL_STREAM_MS / routerCount()
    }

    /** This router's share of the free capacity of the paths, in tokens. */
    private fun freeTokens(service: ServiceDefinition): Long =
        paths.freeTokens(service, failureDetector.failed) / routerCount()

    private fun hasCapacity(service: ServiceDefinition, tokens: Long, nowMs: Long): Boolean =
        paths.hasCapacity(service, failureDetector.failed, tokens, nowMs)

    private class ServiceQueue(var service: ServiceDefinition) {
        val waiting = admissionQueue<StreamRelay>()
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L

        /** A stream that would wait longer for the end of a pause is refused at once. */
        const val MAX_PAUSE_WAIT_MS = 1_000L

        /** Duration of a stream of usual length, from its first attempt to its end. */
        const val USUAL_STREAM_MS = 4_000.0
    }
}
