package org.jacinthlink.decision.paths

/**
 * How long to wait for an engine's report before the engine is taken as silent.
 *
 * Load pattern: machines with a fifth of a core, or that turn slow, read answers late. Their limit
 * follows the answers that they do get, so that they don't take living engines as dead; a machine
 * with time to spare notices a dead engine soon.
 */
class ProbeTimeout internal constructor() {
    private val recentMs = ArrayDeque<Long>()

    /** The limit for the next question. */
    val timeoutMs: Long
        get() {
            if (recentMs.size < ENOUGH) return UNKNOWN_MS
            return (recentMs.max() * FACTOR).coerceIn(MIN_MS, MAX_MS)
        }

    /** Notes an answer that came [tookMs] after its question, in time or late. */
    fun answered(tookMs: Long) {
        recentMs.addLast(tookMs)
        if (recentMs.size > KEPT) recentMs.removeFirst()
    }

    private companion object {
        const val FACTOR = 3L

        /** Questions to the servers of a few paths. */
        const val KEPT = 48
        const val ENOUGH = 8

        /** An engine answers a report within 7 ms. */
        const val MIN_MS = 55L
        const val UNKNOWN_MS = 200L
        const val MAX_MS = 500L
    }
}

/** A limit that knows no answers yet. */
fun probeTimeout(): ProbeTimeout = ProbeTimeout()
