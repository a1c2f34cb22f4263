package org.jacinthlink.cli.admin

import org.jacinthlink.entry.admin.EventsAnswer
import org.jacinthlink.runtime.events.Event
import org.jacinthlink.runtime.events.FAULT_EVENTS

/**
 * Places of the events of a time line: a lane for each process and a row for each event.
 *
 * @property lanes Processes, in the order of their first events; those without events come last.
 * @property missing Processes of [lanes] that did not answer.
 * @property rows Events in the order of the logical clock, so that a cause is above its effect.
 */
internal data class TimeLineLayout(
    val lanes: List<String>,
    val missing: Set<String>,
    val rows: List<TimeLineRow>
)

/**
 * One event of a time line.
 *
 * @property lane Index of its process.
 * @property offsetMs Time since the first event by the wall clocks, which may differ.
 * @property previousRow Row of the event before it of the same request, or null.
 */
internal data class TimeLineRow(
    val event: Event,
    val lane: Int,
    val offsetMs: Long,
    val previousRow: Int?,
    val isFault: Boolean
)

/** Lays out the events of [answer]. */
internal fun timeLineLayout(answer: EventsAnswer): TimeLineLayout {
    val events = answer.events.sortedWith(compareBy({ it.logicalTime }, { it.instance }))
    val lanes = (events.map { it.instance } + answer.missing).distinct()
    val laneOf = lanes.withIndex().associate { it.value to it.index }
    val startMs = events.minOfOrNull { it.timeMs } ?: 0
    val lastRowOf = HashMap<String, Int>()
    val rows =
        events.mapIndexed { row, event ->
            TimeLineRow(
                event,
                laneOf.getValue(event.instance),
                event.timeMs - startMs,
                event.requestId?.let { lastRowOf.put(it, row) },
                event.name in FAULT_EVENTS
            )
        }
    return TimeLineLayout(lanes, answer.missing.toSet(), rows)
}
