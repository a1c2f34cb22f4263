package org.jacinthlink.entry.heads

import java.util.concurrent.ConcurrentHashMap
import org.jacinthlink.api.InstanceId

/**
 * Instances that recently broke a request without being unreachable.
 *
 * Such an instance looks idle, because its requests end early, so a choice by load alone would send
 * it ever more of them. It is avoided for a time that doubles with each failure after a pause.
 */
internal class FailureHistory {
    private val failures = ConcurrentHashMap<InstanceId, Failures>()

    /** Notes a failure. Those of requests that ran at the same time count once. */
    fun failed(instance: InstanceId, nowMs: Long) {
        failures.compute(instance) { _, known ->
            when {
                known == null || nowMs - known.untilMs > FORGET_AFTER_MS ->
                    Failures(nowMs + FIRST_PAUSE_MS, FIRST_PAUSE_MS)
                nowMs < known.untilMs -> known
                else -> {
                    val pauseMs = (known.pauseMs * 2).coerceAtMost(MAX_PAUSE_MS)
                    Failures(nowMs + pauseMs, pauseMs)
                }
            }
        }
    }

    /** Notes that a request ended well. */
    fun succeeded(instance: InstanceId) {
        failures.remove(instance)
    }

    /** Instances to avoid now. */
    fun avoided(nowMs: Long): Set<InstanceId> {
        if (failures.isEmpty()) return emptySet()
        failures.values.removeIf { nowMs - it.untilMs > FORGET_AFTER_MS }
        return failures.filterValues { nowMs < it.untilMs }.keys
    }

    private data class Failures(val untilMs: Long, val pauseMs: Long)

    private companion object {
        const val FIRST_PAUSE_MS = 1_000L
        const val MAX_PAUSE_MS = 16_000L
        const val FORGET_AFTER_MS = 30_000L
    }
}
