package org.jacinthlink.runtime.supervision

/**
 * Delay before a failed task starts again: [firstMs] after the first failure, then doubled up to
 * [maxMs].
 *
 * @property resetAfterMs A run that lasted this long counts as healthy and resets the delay.
 */
data class RestartDelay(
    val firstMs: Long = 100,
    val maxMs: Long = 10_000,
    val resetAfterMs: Long = 30_000
) {
    /** Delay after [failures] failures in a row. */
    fun afterMs(failures: Int): Long {
        val doublings = (failures - 1).coerceIn(0, MAX_DOUBLINGS)
        return (firstMs shl doublings).coerceAtMost(maxMs)
    }

    private companion object {
        // A larger shift could overflow for long first delays.
        const val MAX_DOUBLINGS = 20
    }
}
