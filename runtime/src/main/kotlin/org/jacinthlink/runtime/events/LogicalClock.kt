package org.jacinthlink.runtime.events

/**
 * Hybrid logical clock.
 *
 * A reading holds milliseconds since the epoch in its upper bits and a counter in the lower 16, so
 * readings sort by cause and effect and stay close to the wall clock.
 */
class LogicalClock internal constructor() {
    private var last = 0L

    /** Advances the clock for a local event. */
    @Synchronized
    fun tick(nowMs: Long): Long {
        last = maxOf(last + 1, nowMs shl COUNTER_BITS)
        return last
    }

    /** Advances the clock beyond [reading], which came with a message. */
    @Synchronized
    fun observe(reading: Long, nowMs: Long) {
        val aheadMs = (reading ushr COUNTER_BITS) - nowMs
        if (reading > last && aheadMs <= MAX_AHEAD_MS) last = reading
    }

    private companion object {
        const val COUNTER_BITS = 16

        // A peer with a wrong wall clock must not drag the clocks of the whole fleet along.
        const val MAX_AHEAD_MS = 60_000L
    }
}

/** Creates a clock for one process. */
fun logicalClock() = LogicalClock()
