package org.jacinthlink.decision.paths

/**
 * What one stream tells of its path.
 *
 * @property lastSignAtMs When its last event came, or when it was sent.
 * @property isFlowing True if it has had an event on this path.
 */
data class StreamSign(val path: PathId, val lastSignAtMs: Long, val isFlowing: Boolean)

/**
 * Paths whose servers should be asked whether they live.
 *
 * @property name A zone, or one path.
 * @property streams Streams of this process on the paths.
 * @property silentMs Since the newest event of any of them, or since the oldest send without one.
 * @property limitMs The time after which they count as silent.
 */
data class SilentPaths(
    val name: String,
    val paths: Set<PathId>,
    val streams: Int,
    val silentMs: Long,
    val limitMs: Long
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
class SilenceWatch internal constructor() {
    private val limits = HashMap<String, SilenceLimit>()
    private val asks = HashMap<String, GrowingPause>()

    /** The silent paths that are to be asked now. */
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
        /** A slow path looks silent again and again; servers bill each question. */
        const val FIRST_ASK_PAUSE_MS = 250L
        const val LAST_ASK_PAUSE_MS = 4_000L

        /** Without any event for this time a server may be gone. */
        const val STUCK_MS = 700L
    }
}

/** A watch that knows no paths yet. */
fun silenceWatch(): SilenceWatch = SilenceWatch()
