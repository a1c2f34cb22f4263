package org.jacinthlink.standins

import java.util.concurrent.locks.LockSupport

/** Faults and shared bandwidth of all connections of one listener. */
internal class ProxyLink {
    private val freeAtNs = LongArray(ProxyDirection.entries.size)

    @Volatile var faults = ProxyFaults()

    /**
     * Waits until [sizeBytes] that were read at [readNs] are due at the receiver. Returns early
     * if [abandoned] becomes true.
     */
    fun awaitDue(
        direction: ProxyDirection,
        readNs: Long,
        sizeBytes: Int,
        abandoned: () -> Boolean
    ) {
        val dueNs = readNs + (faults.delayMs * NANOS_PER_MS).toLong()
        sleepUntil(maxOf(dueNs, reserve(direction, sizeBytes)), abandoned)
        while (faults.hold == direction && !abandoned()) Thread.sleep(HOLD_CHECK_MS)
    }

    @Synchronized
    private fun reserve(direction: ProxyDirection, sizeBytes: Int): Long {
        val rate = faults.bytesPerSecond
        if (rate == 0L) return 0L
        val startNs = maxOf(System.nanoTime(), freeAtNs[direction.ordinal])
        val endNs = startNs + sizeBytes * NANOS_PER_SECOND / rate
        freeAtNs[direction.ordinal] = endNs
        return endNs
    }

    // Parks in short spans, so that a connection that is cut ends soon.
    private fun sleepUntil(endNs: Long, abandoned: () -> Boolean) {
        while (!abandoned()) {
            val leftNs = endNs - System.nanoTime()
            if (leftNs <= 0) return
            LockSupport.parkNanos(minOf(leftNs, MAX_PARK_NS))
        }
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000.0
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val MAX_PARK_NS = 50_000_000L
        const val HOLD_CHECK_MS = 5L
    }
}
