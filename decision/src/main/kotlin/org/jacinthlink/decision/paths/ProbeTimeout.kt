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
            if (recentMs.size < MIN_SAMPLES) return INITIAL_MS
            return (recentMs.max() * FACTOR).coerceIn(MIN_MS, MAX_MS)
        }

    /** Records a response that came [elapsedMs] after its probe, in time or late. */
    fun answered(elapsedMs: Long) {
        recentMs.addLast(elapsedMs)
        if (recentMs.size > MAX_SAMPLES) recentMs.removeFirst()
    }

    private companion object {
        const val FACTOR = 3L

        /** As many responses as arrive when the servers of a few paths are probed. */
        const val MAX_SAMPLES = 48
        const val MIN_SAMPLES = 8

        /** An engine sends its report within 7 ms. */
        const val MIN_MS = 55L
        const val INITIAL_MS = 200L
        const val MAX_MS = 500L
    }
}

/** Creates a timeout without recorded responses. */
fun probeTimeout(): ProbeTimeout = ProbeTimeout()
