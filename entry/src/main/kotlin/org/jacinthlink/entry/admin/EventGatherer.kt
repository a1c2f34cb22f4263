package org.jacinthlink.entry.admin

import java.util.concurrent.Callable
import java.util.concurrent.CancellationException
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.RequestId
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.boundedExecutor
import org.jacinthlink.runtime.events.Event
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult

/** Gathers the events of one request from all known instances. */
internal class EventGatherer(private val context: EntryContext) {
    private val executor = boundedExecutor(context.scope, "events", threads = 32, queued = 4_096)

    fun gather(requestId: RequestId): EventsAnswer {
        val own = context.eventLog.recent(requestId)
        val peers =
            context.membership.instances()
                .map { it.description }
                .filter { it.instance != context.instance }
        val asked =
            executor.invokeAll(
                peers.map { Callable { ask(it, requestId) } },
                TIMEOUT_MS,
                TimeUnit.MILLISECONDS
            )
        val answers = peers.zip(asked.map(::resultOf))
        val events = own + answers.flatMap { it.second.orEmpty() }
        val silent = answers.filter { it.second == null }.map { it.first.instance.value }
        val heard = answers.map { it.first.instance.value }.toSet() + context.instance.value
        return EventsAnswer(
            events.distinct().sortedWith(compareBy({ it.logicalTime }, { it.instance })),
            (silent + (involved(events) - heard)).distinct().sorted()
        )
    }

    /** Instances that the events name; those that have gone since are missing. */
    private fun involved(events: List<Event>): Set<String> =
        events.flatMap { event -> INSTANCE_FIELDS.mapNotNull { event.fields[it] } }.toSet()

    private fun resultOf(asked: java.util.concurrent.Future<List<Event>?>): List<Event>? =
        try {
            asked.get()
        } catch (_: CancellationException) {
            null
        } catch (_: ExecutionException) {
            null
        }

    private fun ask(peer: InstanceDescription, requestId: RequestId): List<Event>? {
        val url = "http://${peer.address}/v1/events?request_id=${requestId.value}"
        val result = context.peerClient.call(PeerCall("GET", url), CALL_TIMEOUT_MS)
        if (result !is PeerResult.Answered || !result.isSuccess) return null
        return try {
            ProtocolJson.decodeFromString(ListSerializer(Event.serializer()), result.body)
        } catch (_: SerializationException) {
            null
        }
    }

    private companion object {
        const val CALL_TIMEOUT_MS = 1_000L
        const val TIMEOUT_MS = 5_000L
        val INSTANCE_FIELDS = listOf("head", "sidecar")
    }
}
