package org.jacinthlink.runtime.configuration

/** Pauses between two reads of the document from the key-value service. */
internal object PollPlan {
    // Leaves most of the service's 2,000 reads/s to claims.
    private const val FLEET_READS_PER_SECOND = 40
    private const val MIN_INTERVAL_MS = 2_000L
    private const val MAX_BACKOFF_MS = 60_000L
    private const val MAX_DOUBLINGS = 10

    // The scope varies pauses by a fifth; without this margin the shorter ones exceed the rate.
    private const val MARGIN = 1.25

    /** Pause for a fleet of [processes] after [failures] failed reads in a row. */
    fun intervalMs(processes: Int, failures: Int): Long {
        val shareMs = (processes * 1_000L * MARGIN / FLEET_READS_PER_SECOND).toLong()
        val intervalMs = shareMs.coerceAtLeast(MIN_INTERVAL_MS)
        val backoffMs = intervalMs shl failures.coerceIn(0, MAX_DOUBLINGS)
        return backoffMs.coerceAtMost(maxOf(MAX_BACKOFF_MS, intervalMs))
    }
}
