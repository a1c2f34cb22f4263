package org.jacinthlink.decision.paths

/**
 * How long to wait for an engine's report before the engine counts as unresponsive.
 *
 * Load pattern: machines with a fifth of a core, or machines that become slow, read responses late.
 * The timeout follows the response times on this machine, so that a slow machine does not treat
 * live engines as dead, and a machine with spare processor time detects a dead engine soon.
 */
class ProbeTimeout internal constructor() {
    private val recentMs = ArrayDeque<Long>()

    /** Timeout of the next probe. */
    val timeoutMs: Long
        get() {
            if (recentMs.size < ENOUGH) return UNKNOWN_MS
            return (recentMs.max() * FACTOR).coerceIn(MIN_MS, MAX_MS)
        }

    /** Records a response that came [tookMs] after its probe, in time or late. */
    fun answered(tookMs: Long) {
        recentMs.addLast(tookMs)
        if (recentMs.size > KEPT) recentMs.removeFirst()
    }

    private companion object {
        const val FACTOR = 3L

        /** Number of probes of the servers of a few paths. */
        const val KEPT = 48
        const val ENOUGH = 8

        /** An engine sends its report within 7 ms. */
        const val MIN_MS = 55L
        const val UNKNOWN_MS = 200L
        const val MAX_MS = 500L
    }
}

/** Creates a timeout without recorded responses. */
fun probeTimeout(): ProbeTimeout = ProbeTimeout()
