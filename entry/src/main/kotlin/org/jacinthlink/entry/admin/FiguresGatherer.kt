package org.jacinthlink.entry.admin

import java.util.concurrent.Callable
import java.util.concurrent.CancellationException
import java.util.concurrent.ExecutionException
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.Role
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.boundedExecutor
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.jsonResponse
import org.jacinthlink.runtime.membership.KnownMember

/** Path on which an entry tells other entries its figures. */
internal const val FIGURES_PATH = "/v1/figures"

/** Adds the figures of all entries. */
internal class FiguresGatherer(private val context: EntryContext) {
    private val executor = boundedExecutor(context.scope, "figures", threads = 16, queued = 1_024)

    /** Figures of the fleet, and the entries that did not answer. */
    class Gathered(val classes: Map<String, ClassFigures>, val missing: List<String>)

    /** Answer to another entry. */
    fun own(): Response =
        jsonResponse(
            Status.OK,
            ProtocolJson.encodeToString(FORMAT, context.metrics.figures(context.clock.nowMs()))
        )

    fun gather(): Gathered {
        val entries = context.membership.members().filter { it.listed.role == Role.ENTRY }
        val tasks = entries.map { Callable { ask(it) } }
        val asked = executor.invokeAll(tasks, TIMEOUT_MS, TimeUnit.MILLISECONDS)
        val answers = entries.zip(asked.map(::resultOf))
        return Gathered(
            totalFigures(
                answers.mapNotNull { it.second } + context.metrics.figures(context.clock.nowMs())
            ),
            answers.filter { it.second == null }.map { it.first.instance.value }.sorted()
        )
    }

    private fun ask(entry: KnownMember): Map<String, ClassFigures>? {
        val call = PeerCall("GET", "http://${entry.listed.address}$FIGURES_PATH")
        val result = context.peerClient.call(call, CALL_TIMEOUT_MS)
        if (result !is PeerResult.Answered || !result.isSuccess) return null
        return try {
            ProtocolJson.decodeFromString(FORMAT, result.body)
        } catch (_: SerializationException) {
            null
        }
    }

    private fun resultOf(asked: Future<Map<String, ClassFigures>?>): Map<String, ClassFigures>? =
        try {
            asked.get()
        } catch (_: CancellationException) {
            null
        } catch (_: ExecutionException) {
            null
        }

    private companion object {
        const val CALL_TIMEOUT_MS = 1_000L
        const val TIMEOUT_MS = 3_000L
        val FORMAT = MapSerializer(String.serializer(), ClassFigures.serializer())
    }
}
