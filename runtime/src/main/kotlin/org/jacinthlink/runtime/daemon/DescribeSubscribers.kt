package org.jacinthlink.runtime.daemon

import java.util.concurrent.ConcurrentHashMap

/** Peers that asked for this process' description and are told when it changes. */
internal class DescribeSubscribers {
    private val lastAskedMs = ConcurrentHashMap<String, Long>()

    /** Notes that the peer at [address] asked. */
    fun asked(address: String, nowMs: Long) {
        if (lastAskedMs.size >= MAX_SUBSCRIBERS) forgetBefore(nowMs - RETENTION_MS)
        if (lastAskedMs.size < MAX_SUBSCRIBERS) lastAskedMs[address] = nowMs
    }

    /** Addresses that asked recently. */
    fun recent(nowMs: Long): List<String> {
        forgetBefore(nowMs - RETENTION_MS)
        return lastAskedMs.keys.toList()
    }

    private fun forgetBefore(timeMs: Long) {
        lastAskedMs.values.removeIf { it < timeMs }
    }

    private companion object {
        // A process that knows 960 instances asks each of them once in four minutes.
        const val RETENTION_MS = 300_000L
        const val MAX_SUBSCRIBERS = 4_096
    }
}
