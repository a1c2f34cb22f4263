package org.jacinthlink.runtime.events

import io.github.oshai.kotlinlogging.KotlinLogging
import org.jacinthlink.api.RequestId
import org.jacinthlink.runtime.Clock

/** Creates the event log of [instance]. It keeps the latest [capacity] events. */
fun eventLog(
    instance: String,
    clock: Clock,
    capacity: Int = 2_000,
    logicalClock: LogicalClock = logicalClock()
): EventLog = RingEventLog(instance, clock, capacity, logicalClock)

private class RingEventLog(
    private val instance: String,
    private val clock: Clock,
    private val capacity: Int,
    private val logicalClock: LogicalClock
) : EventLog {
    private val lock = Any()
    private val ring = ArrayDeque<Event>()

    override fun record(name: String, requestId: RequestId?, vararg fields: Pair<String, Any?>) {
        val recorded = fields.associate { (key, value) -> key to recordedValue(key, value) }
        val event = synchronized(lock) { append(name, requestId, recorded) }
        logger.info { eventLine(event) }
    }

    override fun recent(requestId: RequestId?): List<Event> =
        synchronized(lock) {
            ring.filter { requestId == null || it.requestId == requestId.value }
        }

    private fun append(name: String, requestId: RequestId?, fields: Map<String, String>): Event {
        val nowMs = clock.nowMs()
        val logicalTime = logicalClock.tick(nowMs)
        val event = Event(instance, name, nowMs, logicalTime, requestId?.value, fields)
        if (ring.size == capacity) ring.removeFirst()
        ring.addLast(event)
        return event
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
