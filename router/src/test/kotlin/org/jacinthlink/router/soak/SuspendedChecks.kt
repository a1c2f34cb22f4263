package org.jacinthlink.router.soak

/**
 * Describes each request that ended without a whole response, except streams that were cut at
 * their callers' deadline because the servers of their paths stood still for too long, and that
 * could not move, as the router's log says.
 *
 * @param log Lines of the router's log.
 * @param suspensionsMs Times in which each engine stood still, by its address.
 */
internal fun unexplainedEnds(
    results: List<CallResult>,
    log: List<String>,
    suspensionsMs: Map<String, List<LongRange>>,
    deadlineMs: Long
): List<String> {
    val linesById = log.groupBy { field(it, "request") }
    return results.filter { it.status == null || !it.isWhole }.mapNotNull { result ->
        val lines = linesById[result.id].orEmpty()
        val endCause = lines.lastOrNull { field(it, "event") == "ended" }?.let(::endCause)
        val ranMs = ranMs(result, lines, suspensionsMs, deadlineMs)
        val violation = when {
            lines.isEmpty() -> "never read"
            !result.kind.isStream || result.status == null -> "neither answered nor refused"
            endCause != AT_DEADLINE -> "cut before its deadline"
            ranMs >= NEEDED_MS -> "cut although its servers ran"
            lastObstacle(lines) !in OBSTACLES -> "cut although it could move"
            else -> null
        }
        violation?.let { "$it ($endCause, its servers ran for $ranMs ms): $result, $lines" }
    }
}

/**
 * Time until the deadline of [result] for which the servers ran that its stream was sent to last.
 * Before it was sent, these are all, as some of them hold a part of the layers only.
 */
private fun ranMs(
    result: CallResult,
    lines: List<String>,
    suspensionsMs: Map<String, List<LongRange>>,
    deadlineMs: Long
): Long {
    val endsAtMs = result.startedAtMs + deadlineMs
    val sends = lines.filter { field(it, "event") == "sent" }.map { line ->
        val leftMs = field(line, "left_ms")!!.toLong()
        val path = field(line, "path").orEmpty()
        endsAtMs - leftMs to suspensionsMs.filterKeys { it in path }.values
    }
    return (result.startedAtMs until endsAtMs).count { atMs ->
        val used = sends.lastOrNull { it.first <= atMs }?.second ?: suspensionsMs.values
        used.all { it.ranAt(atMs) }
    }.toLong()
}

private fun List<LongRange>.ranAt(atMs: Long): Boolean = none { atMs in it }

/** Value of the field [name] of a line of the log, or null if it has none. */
private fun field(line: String, name: String): String? =
    Regex("""(?:^| )$name=("[^"]*"|\S*)""").find(line)?.groupValues?.get(1)

/** Why the stream could not leave the path that it was sent to last, or null if no line says so. */
private fun lastObstacle(lines: List<String>): String? =
    lines.takeLastWhile { field(it, "event") != "sent" }
        .lastOrNull { field(it, "event") == "stays" }
        ?.let { field(it, "obstacle") }

private fun endCause(line: String): String = "${field(line, "status")} ${field(line, "cause")}"

private const val AT_DEADLINE = "0 deadline"

private val OBSTACLES = setOf("retry_budget", "no_path")

/** Time that a stream takes, and a quarter more because events are late on a busy machine. */
private const val NEEDED_MS = STREAM_EVENTS * 40L * 5 / 4
