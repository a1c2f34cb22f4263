package org.jacinthlink.decision.paths

/**
 * Attempts on one path that have not had an event yet.
 *
 * Load patterns: a server of a path becomes slow, or a burst brings more prompts than the path can
 * process. A path that keeps a prompt waiting for long receives no further requests until it has
 * caught up. So the other paths are used, and the remaining requests wait in the admission queue,
 * where urgent requests go first. Or a server dies, and all streams of its path move to the other
 * paths within a few ms. An engine processes their prompts one after the other, so the streams are
 * distributed by the number of waiting prompts and not by memory alone.
 *
 * @param K Type of the key that identifies an attempt.
 */
class FirstEventBacklog<K> internal constructor() {
    private val sentAtMs = LinkedHashMap<K, Long>()

    /** Records that [attempt] has been sent. */
    fun recordSent(attempt: K, nowMs: Long) {
        sentAtMs[attempt] = nowMs
    }

    /** Records that [attempt] has had its first event or has ended. */
    fun answered(attempt: K) {
        sentAtMs.remove(attempt)
    }

    /** Age of the oldest attempt without an event, or 0 if there is none. */
    fun ageMs(nowMs: Long): Long = sentAtMs.values.firstOrNull()?.let { nowMs - it } ?: 0

    /**
     * Share of the path's capacity that the waiting prompts count as. The caller adds it to the
     * share of the memory in use.
     */
    val waitingShare: Double get() = sentAtMs.size * SHARE_PER_PROMPT

    /** True if the path responds soon enough to receive another request. */
    fun acceptsMore(nowMs: Long): Boolean = ageMs(nowMs) <= MAX_AGE_MS

    private companion object {
        /** In normal operation, first events take 45 ms (median) and 125 ms (99th percentile). */
        const val MAX_AGE_MS = 200L

        /** Three more waiting prompts count about as much as a sixth of the memory. */
        const val SHARE_PER_PROMPT = 0.05
    }
}

/** Creates an empty backlog. */
fun <K> firstEventBacklog(): FirstEventBacklog<K> = FirstEventBacklog()
