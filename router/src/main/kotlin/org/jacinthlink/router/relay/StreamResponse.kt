package org.jacinthlink.router.relay

import org.jacinthlink.decision.paths.StreamProgress
import org.jacinthlink.decision.paths.expectedRemainingMs
import org.jacinthlink.transport.HeaderField
import org.jacinthlink.transport.ServerExchange

/**
 * Response of a stream to its caller: status and headers, then each event once, in order.
 *
 * @param lastEventIdAtStart Id of the last event that the caller already has, or null.
 */
internal class StreamResponse(private val exchange: ServerExchange, lastEventIdAtStart: Long?) {
    /** Id of the newest event that the caller has, or null. */
    var lastEventId: Long? = lastEventIdAtStart
        private set

    /** True once status and headers have been sent. */
    var hasSentHead = false
        private set

    /** Number of events that have been sent. */
    var eventCount = 0
        private set

    /** Longest time between two consecutive events as they were sent. */
    var longestGapMs = 0L
        private set

    /** When the first event was sent, or null. */
    var firstEventAtMs: Long? = null
        private set

    /** When the newest event was sent, or null. */
    var lastEventAtMs: Long? = null
        private set

    /** Expected time until a response of about [expectedEvents] events ends. */
    fun expectedRemainingMs(expectedEvents: Int): Long {
        val elapsedMs = (lastEventAtMs ?: 0) - (firstEventAtMs ?: 0)
        return expectedRemainingMs(StreamProgress(eventCount, elapsedMs, expectedEvents))
    }

    /** Sends those of [events] that the caller does not have yet. Returns true if there are any. */
    fun forward(
        events: List<StreamEvent>,
        status: Int,
        headers: List<HeaderField>,
        nowMs: Long
    ): Boolean {
        val next = newAmong(events)
        if (next.isEmpty()) return false
        lastEventAtMs?.let { longestGapMs = maxOf(longestGapMs, nowMs - it) }
        lastEventAtMs = nowMs
        if (firstEventAtMs == null) firstEventAtMs = nowMs
        start(status, headers)
        lastEventId = next.lastOrNull { it.id != null }?.id ?: lastEventId
        eventCount += next.size
        exchange.write(joined(next))
        return true
    }

    /** Ends the response as complete. */
    fun end(status: Int, headers: List<HeaderField>) {
        start(status, headers)
        exchange.endStream()
    }

    private fun start(status: Int, headers: List<HeaderField>) {
        if (hasSentHead) return
        hasSentHead = true
        exchange.startStream(status, headers)
    }

    /** The bytes of [events], because each write has a cost of its own, however short it is. */
    private fun joined(events: List<StreamEvent>): ByteArray {
        val whole = ByteArray(events.sumOf { it.bytes.size })
        var offset = 0
        events.forEach {
            it.bytes.copyInto(whole, offset)
            offset += it.bytes.size
        }
        return whole
    }

    private fun newAmong(events: List<StreamEvent>): List<StreamEvent> {
        var newestId = lastEventId ?: Long.MIN_VALUE
        return events.filter { event ->
            val isNew = event.id == null || event.id > newestId
            if (isNew && event.id != null) newestId = event.id
            isNew
        }
    }
}
