package org.jacinthlink.decision.paths

/** Of this many streams, at least one has an event in each pass of the engines. */
internal const val SEVERAL_STREAMS = 3

/**
 * How long a path may have no event on any of its streams before its servers are probed.
 *
 * Load pattern: a server in the middle of a path dies or stops responding under steady load, or the
 * path slows down in a burst. The timeout follows the longest pauses of the last seconds, so that
 * the servers of a slow path are seldom probed and those of a fast path soon. Engines that send
 * five tokens an event pause for 100 to 150 ms; with a fixed timeout of 120 ms for one or two
 * streams, most alarms of such paths were false.
 */
class StallTimeout internal constructor() {
    private var lastEventMs: Long? = null
    private var lastCallMs: Long? = null
    private var pauseMs = INITIAL_PAUSE_MS
    private var decayedAtMs: Long? = null

    /**
     * Returns the timeout of a path whose newest event came at [eventMs].
     *
     * @param streamsWithEvents Number of streams of this process that have had an event on the
     *   path.
     */
    fun timeoutMs(eventMs: Long, streamsWithEvents: Int, nowMs: Long): Long {
        record(eventMs, nowMs)
        val timeout = (pauseMs * FACTOR).toLong()
        val minMs = if (streamsWithEvents >= SEVERAL_STREAMS) MIN_MS else FEW_STREAMS_MIN_MS
        return timeout.coerceIn(minMs, MAX_MS)
    }

    private fun record(eventMs: Long, nowMs: Long) {
        val last = lastEventMs
        lastEventMs = eventMs
        val wasObserved = nowMs - (lastCallMs ?: nowMs) <= MAX_CALL_GAP_MS
        lastCallMs = nowMs
        if (last != null && eventMs > last && wasObserved) {
            pauseMs = maxOf(pauseMs, (eventMs - last).toDouble().coerceAtMost(MAX_PAUSE_MS))
        }
        val sinceMs = nowMs - (decayedAtMs ?: nowMs)
        if (decayedAtMs == null || sinceMs >= DECAY_PERIOD_MS) {
            pauseMs *= DECAY
            decayedAtMs = nowMs
        }
    }

    private companion object {
        const val INITIAL_PAUSE_MS = 90.0
        const val MAX_PAUSE_MS = 200.0
        const val FACTOR = 1.4
        const val DECAY = 0.9
        const val DECAY_PERIOD_MS = 250L

        /** Events come every 20 to 60 ms. */
        const val MIN_MS = 65L
        const val MAX_MS = 260L

        /** One or two streams pause while their engines process other prompts. */
        const val FEW_STREAMS_MIN_MS = 120L

        /** After a longer time without streams on the path, their next event ends no pause. */
        const val MAX_CALL_GAP_MS = 100L
    }
}

/** Creates a timeout without recorded events. */
fun stallTimeout(): StallTimeout = StallTimeout()
