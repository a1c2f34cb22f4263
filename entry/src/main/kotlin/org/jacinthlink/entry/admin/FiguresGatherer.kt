package org.jacinthlink.entry.admin

import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.Role
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.boundedExecutor
import org.jacinthlink.runtime.http.jsonResponse

/** Path on which an entry tells other entries its figures. */
internal const val FIGURES_PATH = "/v1/figures"

/** Adds the figures of all entries. */
internal class FiguresGatherer(private val context: EntryContext) {
    private val executor = boundedExecutor(context.scope, "figures", threads = 16, queued = 1_024)
    private val queries = MemberQueries(context.peerClient, executor, FORMAT, TIMEOUT_MS)

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
        val answers = queries.ask(entries, FIGURES_PATH)
        return Gathered(
            totalFigures(
                answers.mapNotNull { it.second } + context.metrics.figures(context.clock.nowMs())
            ),
            answers.filter { it.second == null }.map { it.first.instance.value }.sorted()
        )
    }

    private companion object {
        const val TIMEOUT_MS = 3_000L
        val FORMAT = MapSerializer(String.serializer(), ClassFigures.serializer())
    }
}
