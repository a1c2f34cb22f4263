package org.jacinthlink.standins

/** Admits at most [maxPerSecond] calls in each second of the clock; 0 admits all. */
internal class RateWindow(private val maxPerSecond: Int) {
    private var second = 0L
    private var used = 0

    @Synchronized
    fun admit(nowMs: Long): Boolean {
        if (maxPerSecond == 0) return true
        if (nowMs / MS_PER_SECOND != second) {
            second = nowMs / MS_PER_SECOND
            used = 0
        }
        return ++used <= maxPerSecond
    }

    private companion object {
        const val MS_PER_SECOND = 1_000L
    }
}
