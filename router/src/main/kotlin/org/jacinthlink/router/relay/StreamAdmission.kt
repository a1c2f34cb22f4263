package org.jacinthlink.router.relay

import org.jacinthlink.decision.admission.QueueDecision
import org.jacinthlink.decision.admission.WaitingRequest
import org.jacinthlink.decision.admission.admissionQueue
import org.jacinthlink.decision.fleet.ServiceDefinition

/** Lets the first sends of streams wait until a path has room for them. */
internal class StreamAdmission(
    private val paths: PathTable,
    private val faults: FailureDetector,
    private val routerCount: () -> Int,
    private val clockMs: () -> Long
) {
    private val rooms = HashMap<String, ServiceQueue>()

    /** Number of streams that wait. */
    val waitingCount: Int get() = rooms.values.sumOf { it.room.size }

    /** Sends [stream] if a path has room, lets it wait, or tells it that it would wait in vain. */
    fun admit(stream: StreamRelay, service: ServiceDefinition) {
        val queue = rooms.getOrPut(service.name) { ServiceQueue(service) }
        queue.service = service
        val nowMs = clockMs()
        if (queue.room.size == 0 && hasRoom(service, stream.tokens, nowMs)) {
            stream.admitted()
            return
        }
        val request =
            WaitingRequest(
                stream,
                stream.priority,
                stream.tokens,
                stream.arrivedAtMs,
                stream.targetMs
            )
        val decision =
            queue.room.offer(request, nowMs, usualTokensPerMs(service), freeTokens(service))
        when (decision) {
            QueueDecision.Queued -> Unit
            is QueueDecision.Refused -> stream.refused("queue full", decision.retryAfterMs)
        }
    }

    /** Takes [stream] out of its queue. */
    fun leave(stream: StreamRelay, service: ServiceDefinition) {
        rooms[service.name]?.room?.remove(stream)
    }

    /** Notes that a stream has left [tokens] of a path. */
    fun onFreed(service: ServiceDefinition, tokens: Long) {
        rooms.getOrPut(service.name) { ServiceQueue(service) }.room.onFreed(tokens, clockMs())
    }

    /** Sends what has room now and gives up what has waited too long; called periodically. */
    fun tick() {
        val nowMs = clockMs()
        rooms.values.filter { it.room.size > 0 }.forEach { queue ->
            queue.room.removeOverdue(nowMs).forEach { it.item.refused("waited in vain", RETRY_AFTER_MS) }
            while (true) {
                val next = queue.room.next(nowMs) { hasRoom(queue.service, it, nowMs) } ?: break
                next.item.admitted()
            }
        }
    }

    /** What this router's share of full paths frees; before paths are known, any wait is short. */
    private fun usualTokensPerMs(service: ServiceDefinition): Double {
        val usableTokens = paths.usableTokens(service, faults.failed)
        if (usableTokens == 0L) return Double.POSITIVE_INFINITY
        return usableTokens / USUAL_STREAM_MS / routerCount()
    }

    /** This router's share of the room that paths have. */
    private fun freeTokens(service: ServiceDefinition): Long =
        paths.freeTokens(service, faults.failed) / routerCount()

    private fun hasRoom(service: ServiceDefinition, tokens: Long, nowMs: Long): Boolean =
        paths.hasRoom(service, faults.failed, tokens, nowMs)

    private class ServiceQueue(var service: ServiceDefinition) {
        val room = admissionQueue<StreamRelay>()
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L

        /** From the send of a stream of usual length to its end. */
        const val USUAL_STREAM_MS = 4_000.0
    }
}
