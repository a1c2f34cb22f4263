package org.jacinthlink.cli.admin

import org.jacinthlink.runtime.events.Event

/** One line for each of [events], with the time since the first. */
internal fun renderTimeLine(events: List<Event>): String {
    val startMs = events.minOfOrNull { it.timeMs } ?: return "no events\n"
    return events.joinToString("") { event ->
        val fields = event.fields.entries.joinToString(" ") { "${it.key}=${it.value}" }
        val offset = "+${event.timeMs - startMs} ms".padStart(OFFSET_WIDTH)
        "$offset  ${event.instance.padEnd(INSTANCE_WIDTH)} ${event.name} $fields".trimEnd() + "\n"
    }
}

private const val OFFSET_WIDTH = 12
private const val INSTANCE_WIDTH = 28
