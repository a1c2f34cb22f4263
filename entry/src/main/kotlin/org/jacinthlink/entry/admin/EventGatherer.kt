package org.jacinthlink.entry.admin

import java.net.URLEncoder
import kotlinx.serialization.builtins.ListSerializer
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.boundedExecutor
import org.jacinthlink.runtime.events.Event
import org.jacinthlink.runtime.events.EventFilter
import org.jacinthlink.runtime.events.INSTANCE_FIELDS

/** Gathers events from all known instances. */
internal class EventGatherer(private val context: EntryContext) {
    private val executor = boundedExecutor(context.scope, "events", threads = 32, queued = 4_096)
    private val queries =
        MemberQueries(
            context.peerClient,
            executor,
            ListSerializer(Event.serializer()),
            TIMEOUT_MS
        )

    /** The events of [filter], and for a class or a fault all events of its latest requests. */
    fun gather(filter: EventFilter): EventsAnswer {
        val first = ask(filter)
        if (filter is EventFilter.OfRequests) return answer(listOf(first))
        val requestIds =
            first.events.sortedByDescending { it.logicalTime }.mapNotNull { it.requestId }
                .distinct().take(MAX_REQUESTS).toSet()
        val kept = first.events.filter { it.requestId == null || it.requestId in requestIds }
        if (requestIds.isEmpty()) return answer(listOf(first))
        return answer(listOf(first.copy(events = kept), ask(EventFilter.OfRequests(requestIds))))
    }

    private data class Round(
        val events: List<Event>,
        val asked: Set<String>,
        val silent: Set<String>
    )

    private fun ask(filter: EventFilter): Round {
        val own = context.eventLog.recent().filter(filter::matches)
        // One that is draining or excluded may answer, and is named as missing if it does not.
        val peers = context.membership.members()
        val answers = queries.ask(peers, "/v1/events?${query(filter)}")
        return Round(
            own + answers.flatMap { it.second.orEmpty() },
            peers.map { it.instance.value }.toSet() + context.instance.value,
            answers.filter { it.second == null }.map { it.first.instance.value }.toSet()
        )
    }

    private fun answer(rounds: List<Round>): EventsAnswer {
        val events = rounds.flatMap { it.events }.distinct()
        val gone = involved(events) - rounds.flatMap { it.asked }.toSet()
        return EventsAnswer(
            events.sortedWith(compareBy({ it.logicalTime }, { it.instance })),
            (rounds.flatMap { it.silent } + gone).distinct().sorted()
        )
    }

    /** Instances that the events name; those that have gone since are missing. */
    private fun involved(events: List<Event>): Set<String> =
        events
            .flatMap { event -> INSTANCE_FIELDS.mapNotNull { event.fields[it] } }
            .flatMap { it.split(',') }
            .filter { it.isNotEmpty() && it != "null" }
            .toSet()

    private fun query(filter: EventFilter): String =
        when (filter) {
            EventFilter.All -> ""
            is EventFilter.OfRequests ->
                filter.requestIds.joinToString("&") { "request_id=${encoded(it)}" }
            is EventFilter.OfClass -> "class=${encoded(filter.workClass)}"
            is EventFilter.OfFault -> "fault=${encoded(filter.subject)}"
        }

    private fun encoded(value: String) = URLEncoder.encode(value, Charsets.UTF_8)

    private companion object {
        const val TIMEOUT_MS = 5_000L

        // Bounds the query string and the size of a page; the latest requests show the present.
        const val MAX_REQUESTS = 20
    }
}
