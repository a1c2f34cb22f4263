package org.jacinthlink.decision.paths

/**
 * The last activity of a stream on its path.
 *
 * @property lastSignAtMs Time of the stream's last event, or of its send if it has had no event.
 * @property isFlowing True if the stream has had an event on this path.
 */
data class StreamSign(val path: PathId, val lastSignAtMs: Long, val isFlowing: Boolean)

/**
 * Stalled paths, whose servers should be probed.
 *
 * @property name Name of a zone or of a single path.
 * @property streams Number of streams of this process on the paths.
 * @property silentMs Time since the newest event of these streams, or since the oldest send if none
 *   of them has had an event.
 * @property limitMs Time without an event after which the paths count as stalled.
 */
data class SilentPaths(
    val name: String,
    val paths: Set<PathId>,
    val streams: Int,
    val silentMs: Long,
    val limitMs: Long
)

/**
 * Detects paths on which no stream has had an event for too long.
 *
 * Load patterns: a server behind the first servers of a zone dies, and the streams of all paths of
 * the zone stop at once. Each path has only one or two streams in this process, too few to
 * distinguish a pause from a failure. Or a first server dies, and the other paths of the zone
 * continue. So the streams of a zone are evaluated together, and those of each path separately
 * while the zone as a whole has events. A path that is only slow exceeds the limit repeatedly, so
 * its servers are probed less and less often.
 */
class SilenceWatch internal constructor() {
    private val limits = HashMap<String, SilenceLimit>()
    private val asks = HashMap<String, GrowingPause>()

    /** Returns the stalled paths whose servers should be probed now. */
    fun due(signs: List<StreamSign>, nowMs: Long): List<SilentPaths> =
        signs.groupBy { it.path.home }.flatMap { (zone, own) -> silentIn(zone, own, nowMs) }
            .filter { mayAsk(it.name, nowMs) }

    private fun silentIn(zone: String, signs: List<StreamSign>, nowMs: Long): List<SilentPaths> {
        if (signs.count { it.isFlowing } >= SEVERAL_STREAMS) {
            silence(zone, signs, nowMs)?.let { return listOf(it) }
        }
        return signs.groupBy { it.path }.mapNotNull { (path, own) ->
            silence(path.toString(), own, nowMs)
        }
    }

    private fun silence(name: String, signs: List<StreamSign>, nowMs: Long): SilentPaths? {
        val flowing = signs.filter { it.isFlowing }
        val lastEventMs = flowing.maxOfOrNull { it.lastSignAtMs }
        val sinceMs = lastEventMs ?: signs.minOf { it.lastSignAtMs }
        val limitMs =
            if (lastEventMs == null) {
                STUCK_MS
            } else {
                limits.getOrPut(name) { silenceLimit() }.limitMs(lastEventMs, flowing.size, nowMs)
            }
        val paths = signs.map { it.path }.toSet()
        return SilentPaths(name, paths, signs.size, nowMs - sinceMs, limitMs)
            .takeIf { it.silentMs >= limitMs }
    }

    private fun mayAsk(name: String, nowMs: Long): Boolean {
        val pause = asks.getOrPut(name) { growingPause(FIRST_ASK_PAUSE_MS, LAST_ASK_PAUSE_MS) }
        return pause.isOver(nowMs).also { if (it) pause.begin(nowMs) }
    }

    private companion object {
        /** A slow path exceeds the limit repeatedly, and servers bill each probe. */
        const val FIRST_ASK_PAUSE_MS = 250L
        const val LAST_ASK_PAUSE_MS = 4_000L

        /** A server may have failed if no stream has had its first event within this time. */
        const val STUCK_MS = 700L
    }
}

/** Creates a detector without recorded events. */
fun silenceWatch(): SilenceWatch = SilenceWatch()
