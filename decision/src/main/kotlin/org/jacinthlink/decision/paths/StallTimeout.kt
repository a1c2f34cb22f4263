package org.jacinthlink.decision.paths

/** Streams of which one at least has an event in each pass of the engines. */
internal const val SEVERAL_STREAMS = 3

/**
 * How long a path may give no event to any of its streams before its servers are asked whether
 * they live.
 *
 * Load pattern: a server in the middle of a path dies or goes dark under steady load, or the path
 * slows down in a burst. The limit follows the longest pauses of the last seconds, so that a slow
 * path is seldom asked and a fast one soon.
 */
class StallTimeout internal constructor() {
    private var lastEventMs: Long? = null
    private var pauseMs = INITIAL_PAUSE_MS
    private var decayedAtMs: Long? = null

    /**
     * The limit for a path whose newest event came at [eventMs].
     *
     * @param flowing Streams of this process that have had an event on the path.
     */
    fun timeoutMs(eventMs: Long, flowing: Int, nowMs: Long): Long {
        note(eventMs, nowMs)
        val limit = (pauseMs * FACTOR).toLong()
        return if (flowing >= SEVERAL_STREAMS) limit.coerceIn(MIN_MS, MAX_MS) else LONELY_MS
    }

    private fun note(eventMs: Long, nowMs: Long) {
        val last = lastEventMs
        lastEventMs = eventMs
        if (last != null && eventMs > last) {
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

        /** A single stream pauses while its engines read other prompts. */
        const val LONELY_MS = 120L
    }
}

/** A limit that knows nothing of its path yet. */
fun stallTimeout(): StallTimeout = StallTimeout()
