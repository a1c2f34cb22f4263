package org.jacinthlink.decision.quarantine

/** Bounds of [CrashHistory]. */
data class CrashLimits(
    val expiryMs: Long = 600_000,
    val maxFingerprints: Int = 10_000,
    val refusedAtCrashes: Int = 2
)
