package org.jacinthlink.decision.quarantine

/**
 * Limits of [CrashHistory] and [ContentRuns].
 *
 * @property expiryMs Time after which a crash, an open run or an answer no longer counts.
 * @property maxFingerprints Largest number of fingerprints that are kept.
 * @property refusalThreshold Number of crashes from which requests with a content are refused.
 */
data class CrashLimits(
    val expiryMs: Long = 600_000,
    val maxFingerprints: Int = 10_000,
    val refusalThreshold: Int = 2
)
