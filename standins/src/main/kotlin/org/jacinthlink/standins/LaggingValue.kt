package org.jacinthlink.standins

/** A value that readers see as it was some time ago. */
internal class LaggingValue<T>(initial: T) {
    private val history = ArrayDeque(listOf(Long.MIN_VALUE to initial))

    val latest: T @Synchronized get() = history.last().second

    @Synchronized
    fun set(value: T, nowMs: Long) {
        history.addLast(nowMs to value)
        if (history.size > MAX_HISTORY) history.removeFirst()
    }

    /** The newest value that is at least [lagMs] old, or the oldest one known. */
    @Synchronized
    fun read(nowMs: Long, lagMs: Long): T =
        (history.lastOrNull { it.first <= nowMs - lagMs } ?: history.first()).second

    private companion object {
        const val MAX_HISTORY = 10_000
    }
}
