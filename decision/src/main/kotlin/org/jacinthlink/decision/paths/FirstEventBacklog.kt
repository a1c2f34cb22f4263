package org.jacinthlink.decision.paths

/**
 * Sends over one path that have not brought an event yet.
 *
 * Load patterns: a server of a path turns slow, or a burst brings more prompts than the path can
 * read. A path that lets a prompt wait for long gets no more until it has caught up, so the
 * others are used and what is left waits where urgent requests go first. And: a server dies, and
 * all streams of its path go to the others within a few ms; an engine reads their prompts one after
 * the other, so they are spread by the prompts that wait and not by memory alone.
 *
 * @param K Identity of a send.
 */
class FirstEventBacklog<K> internal constructor() {
    private val sentAtMs = LinkedHashMap<K, Long>()

    /** Notes a send. */
    fun sent(send: K, nowMs: Long) {
        sentAtMs[send] = nowMs
    }

    /** Notes that [send] has brought its first event, or has ended. */
    fun answered(send: K) {
        sentAtMs.remove(send)
    }

    /** Age of the oldest send without an event; 0 if there is none. */
    fun ageMs(nowMs: Long): Long = sentAtMs.values.firstOrNull()?.let { nowMs - it } ?: 0

    /** Share of the path to add to the memory taken, for the prompts that wait to be read. */
    val waitingShare: Double get() = sentAtMs.size * SHARE_FOR_PROMPT

    /** True if the path answers soon enough to get another request. */
    fun acceptsMore(nowMs: Long): Boolean = ageMs(nowMs) <= MAX_AGE_MS

    private companion object {
        /** First events come after 45 ms at the median and 125 ms for 99 in 100 of a calm day. */
        const val MAX_AGE_MS = 200L

        /** Three more prompts that wait outweigh a sixth of the memory. */
        const val SHARE_FOR_PROMPT = 0.05
    }
}

/** A backlog without sends. */
fun <K> firstEventBacklog(): FirstEventBacklog<K> = FirstEventBacklog()
