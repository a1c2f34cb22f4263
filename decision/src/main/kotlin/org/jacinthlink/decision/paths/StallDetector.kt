package org.jacinthlink.decision.paths

/**
 * The last activity of a stream on its path.
 *
 * @property lastActivityAtMs Time of the stream's last event, or the time when the stream was sent
 *   if it has had no event.
 * @property hasReceivedEvents True if the stream has had an event on this path.
 */
data class StreamActivity(
    val path: PathId,
    val lastActivityAtMs: Long,
    val hasReceivedEvents: Boolean
)

/**
 * Stalled paths, whose servers should be probed.
 *
 * @property name Name of a zone or of a single path.
 * @property streams Number of streams of this process on the paths.
 * @property stalledMs Time since the newest event of these streams, or since the first of them was
 *   sent if none of them has had an event.
 * @property timeoutMs Time without an event after which the paths count as stalled.
 */
data class StalledPaths(
    val name: String,
    val paths: Set<PathId>,
    val streams: Int,
    val stalledMs: Long,
    val timeoutMs: Long
)

/**
 * Detects paths on which no stream has had an event for too long.
 *
 * Load patterns: a server behind the first servers of a zone dies, and the streams of all paths of
 * the zone stop at once. Each path has only one or two streams in this process, too few to
 * distinguish a pause from a failure. Or a first server dies, and the other paths of the zone
 * continue. So the streams of a zone are evaluated together, and those of each path separately
 * while the zone as a whole has events or has too few streams. A path that is only slow exceeds the
 * timeout repeatedly, so its servers are probed less and less often.
 */
class StallDetector internal constructor() {
    private val timeouts = HashMap<String, StallTimeout>()
    private val backoffs = HashMap<String, ExponentialBackoff>()

    /** Returns the stalled paths whose servers should be probed now. */
    fun pathsToProbe(activities: List<StreamActivity>, nowMs: Long): List<StalledPaths> =
        activities.groupBy { it.path.home }.flatMap { (zone, own) -> stalledIn(zone, own, nowMs) }
            .filter { mayProbe(it.name, nowMs) }

    private fun stalledIn(
        zone: String,
        activities: List<StreamActivity>,
        nowMs: Long
    ): List<StalledPaths> {
        if (activities.count { it.hasReceivedEvents } >= SEVERAL_STREAMS) {
            stalledPaths(zone, activities, nowMs)?.let { return listOf(it) }
        }
        return activities.groupBy { it.path }.mapNotNull { (path, own) ->
            stalledPaths(path.toString(), own, nowMs)
        }
    }

    private fun stalledPaths(
        name: String,
        activities: List<StreamActivity>,
        nowMs: Long
    ): StalledPaths? {
        val streamsWithEvents = activities.filter { it.hasReceivedEvents }
        val lastEventMs = streamsWithEvents.maxOfOrNull { it.lastActivityAtMs }
        val sinceMs = lastEventMs ?: activities.minOf { it.lastActivityAtMs }
        val timeoutMs =
            if (lastEventMs == null) {
                FIRST_EVENT_TIMEOUT_MS
            } else {
                timeouts.getOrPut(name) { stallTimeout() }
                    .timeoutMs(lastEventMs, streamsWithEvents.size, nowMs)
            }
        val paths = activities.map { it.path }.toSet()
        return StalledPaths(name, paths, activities.size, nowMs - sinceMs, timeoutMs)
            .takeIf { it.stalledMs >= timeoutMs }
    }

    private fun mayProbe(name: String, nowMs: Long): Boolean {
        val backoff =
            backoffs.getOrPut(name) {
                exponentialBackoff(INITIAL_PROBE_DELAY_MS, MAX_PROBE_DELAY_MS)
            }
        return backoff.allowsAttempt(nowMs).also { if (it) backoff.recordFailure(nowMs) }
    }

    private companion object {
        /** A slow path exceeds the timeout repeatedly, and servers bill each probe. */
        const val INITIAL_PROBE_DELAY_MS = 250L
        const val MAX_PROBE_DELAY_MS = 4_000L

        /** A server may have failed if no stream has had its first event within this time. */
        const val FIRST_EVENT_TIMEOUT_MS = 700L
    }
}

/** Creates a detector without recorded events. */
fun stallDetector(): StallDetector = StallDetector()
