package org.jacinthlink.decision.admission

/**
 * What a router does when after SIGTERM.
 *
 * @property rejectAfterMs Time after which new requests are rejected.
 * @property endAfterMs Time after which the process ends although requests are in progress.
 */
data class ShutdownSchedule(val rejectAfterMs: Long, val endAfterMs: Long)

/**
 * The schedule of a shutdown with [graceMs] between SIGTERM and SIGKILL.
 *
 * Load pattern: requests keep coming until the readiness checks have taken the instance out of
 * use, and the last ones that are accepted take as long as any other. At least half of the time is
 * therefore left for them, also if the grace time is short.
 */
fun shutdownSchedule(graceMs: Long): ShutdownSchedule {
    val endAfterMs = (graceMs - KILL_MARGIN_MS).coerceAtLeast(0)
    return ShutdownSchedule(minOf(OUT_OF_ROTATION_MS, endAfterMs / 2), endAfterMs)
}

/**
 * An instance is taken out of use after two failed readiness checks, one second apart. A stream
 * that started later would not end before the process does.
 */
private const val OUT_OF_ROTATION_MS = 2_600L
private const val KILL_MARGIN_MS = 300L
