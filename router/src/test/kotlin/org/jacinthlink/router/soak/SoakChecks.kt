package org.jacinthlink.router.soak

import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.transport.valueOf

/**
 * Describes each violation of a guarantee, from the callers' results and the requests that the
 * servers have run.
 */
internal fun guaranteeViolations(results: List<CallResult>, site: SoakSite): List<String> {
    val runs = (site.engines + site.plainServers).flatMap { it.runs } +
        site.stutteringServers.flatMap { it.runs }
    val runsById = runs.groupBy { it.request.headers.valueOf("Attempt-Id") }
    val byCallers = results.flatMap { result ->
        violationsOf(result, runsById[result.id].orEmpty().size).map { "$it: $result" }
    }
    return byCallers + runs.flatMap { run ->
        violationsOf(run).map { "$it: ${run.request.path} ${run.request.headers}" }
    }
}

private fun violationsOf(result: CallResult, runs: Int): List<String> =
    listOfNotNull(
        "no answer".takeIf { result.isUnanswered },
        "denied".takeIf { result.status in DENIALS },
        "run $runs times".takeIf { result.kind.isUnsafe && runs > 1 },
        "refused but run".takeIf {
            result.kind.isUnsafe && result.status in REFUSALS && runs > 0
        },
        "success without signature".takeIf { result.status == OK && result.signature == null },
        "success with another body".takeIf {
            result.status == OK &&
                !result.kind.isStream &&
                result.isWhole &&
                !result.body.startsWith("ok:")
        },
        "answer to another request".takeIf { !isNamed(result) },
        "success where the server failed".takeIf {
            result.status == OK &&
                !result.kind.isStream &&
                isFromStuttering(result) &&
                isFailing(result.id)
        },
        "events missing, duplicated or merged".takeIf {
            result.status == OK && result.kind.isStream && !hasEventsInOrder(result)
        }
    )

/** True if id, signature and body of a response of a server name this request and its status. */
private fun isNamed(result: CallResult): Boolean {
    if (result.signature == null) return true
    val name = answerName(result.id, result.status ?: 0)
    val names = NAME.findAll(result.signature + result.body).map { it.value }
    val hasBody = result.kind.isStream || !result.isWhole || name in result.body
    return result.answeredId == result.id &&
        names.all { it == name } &&
        (hasBody || !isFromStuttering(result))
}

private fun isFromStuttering(result: CallResult): Boolean =
    result.signature?.contains(NAME) ?: false

private fun hasEventsInOrder(result: CallResult): Boolean {
    val ids = EVENT.findAll(result.body).map { it.groupValues[1].toInt() }.toList()
    return ids == (1..ids.size).toList() && (!result.isWhole || ids.size == STREAM_EVENTS)
}

private fun violationsOf(run: EngineStandIn.Run): List<String> {
    val headers = run.request.headers
    val leftMs = headers.valueOf("Request-Deadline")?.toLongOrNull()
    return listOfNotNull(
        "forged workspace".takeIf { headers.valueOf("Tenant") != "shop" },
        "API key forwarded".takeIf { headers.valueOf("Api-Key") != null },
        "forwarded deadline too long".takeIf { leftMs == null || leftMs > DEADLINE_MS },
        "layers not run once and in order".takeIf {
            headers.valueOf("Hop-Count")?.let { path -> !coversLayers(path) } ?: false
        }
    )
}

private fun coversLayers(path: String): Boolean {
    val parts = path.split(',').map { part ->
        part.substringAfter('=').split('-').map { it.toInt() }
    }
    val ends = listOf(0) + parts.map { it[1] }
    return parts.map { it[0] } == ends.dropLast(1) && ends.last() == LAYERS
}

private val EVENT = Regex("""id: (\d+)\ndata: t\d+(?: \[\S+ \d+])?\n\n""")
private val NAME = Regex("""\[\S+ \d+]""")
private val DENIALS = setOf(400, 401, 403, 404)
private val REFUSALS = setOf(408, 421, 429, 503)
private const val OK = 200
