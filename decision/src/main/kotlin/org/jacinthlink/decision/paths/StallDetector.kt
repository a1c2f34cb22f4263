package org.jacinthlink.decision.paths

/**
 * What one stream tells of its path.
 *
 * @property lastActivityAtMs When its last event came, or when it was sent.
 * @property hasReceivedEvents True if it has had an event on this path.
 */
data class StreamActivity(val path: PathId, val lastActivityAtMs: Long, val hasReceivedEvents: Boolean)

/**
 * Paths whose servers should be asked whether they live.
 *
 * @property name A zone, or one path.
 * @property streams Streams of this process on the paths.
 * @property stalledMs Since the newest event of any of them, or since the oldest send without one.
 * @property timeoutMs The time after which they count as silent.
 */
data class StalledPaths(
    val name: String,
    val paths: Set<PathId>,
    val streams: Int,
    val stalledMs: Long,
    val timeoutMs: Long
)

/**
 * Finds paths that have given no event to any of their streams for too long.
 *
 * Load patterns: a server behind the first ones of a zone dies, and the streams of all its paths
 * stop at once, of which each has only one or two in this process, too few to tell a pause from an
 * end; or a first server dies, and the other paths of the zone go on. So the streams of a zone are
 * looked at together, and those of each path while the zone as a whole has events. A path that is
 * only slow looks silent again and again, and is asked less and less often.
 */
class StallDetector internal constructor() {
    private val limits = HashMap<String, StallTimeout>()
    private val asks = HashMap<String, ExponentialBackoff>()

    /** The silent paths that are to be asked now. */
    fun due(signs: List<StreamActivity>, nowMs: Long): List<StalledPaths> =
        signs.groupBy { it.path.home }.flatMap { (zone, own) -> silentIn(zone, own, nowMs) }
            .filter { mayAsk(it.name, nowMs) }

    private fun silentIn(zone: String, signs: List<StreamActivity>, nowMs: Long): List<StalledPaths> {
        if (signs.count { it.hasReceivedEvents } >= SEVERAL_STREAMS) {
            silence(zone, signs, nowMs)?.let { return listOf(it) }
        }
        return signs.groupBy { it.path }.mapNotNull { (path, own) ->
            silence(path.toString(), own, nowMs)
        }
    }

    private fun silence(name: String, signs: List<StreamActivity>, nowMs: Long): StalledPaths? {
        val flowing = signs.filter { it.hasReceivedEvents }
        val lastEventMs = flowing.maxOfOrNull { it.lastActivityAtMs }
        val sinceMs = lastEventMs ?: signs.minOf { it.lastActivityAtMs }
        val timeoutMs =
            if (lastEventMs == null) {
                STUCK_MS
            } else {
                limits.getOrPut(name) { stallTimeout() }.timeoutMs(lastEventMs, flowing.size, nowMs)
            }
        val paths = signs.map { it.path }.toSet()
        return StalledPaths(name, paths, signs.size, nowMs - sinceMs, timeoutMs)
            .takeIf { it.stalledMs >= timeoutMs }
    }

    private fun mayAsk(name: String, nowMs: Long): Boolean {
        val pause = asks.getOrPut(name) { exponentialBackoff(FIRST_ASK_PAUSE_MS, LAST_ASK_PAUSE_MS) }
        return pause.allowsAttempt(nowMs).also { if (it) pause.recordFailure(nowMs) }
    }

    private companion object {
        /** A slow path looks silent again and again; servers bill each question. */
        const val FIRST_ASK_PAUSE_MS = 250L
        const val LAST_ASK_PAUSE_MS = 4_000L

        /** Without any event for this time a server may be gone. */
        const val STUCK_MS = 700L
    }
}

/** A watch that knows no paths yet. */
fun stallDetector(): StallDetector = StallDetector()
