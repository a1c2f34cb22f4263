package org.jacinthlink.sidecar.calls

import kotlinx.serialization.Serializable
import org.jacinthlink.decision.claims.ClaimLimits

/**
 * Settings of a [ClaimStore].
 *
 * @property bucketCount Buckets of each service. All sidecars of a service and the entries must
 *   agree on it, and a change forgets the claims made under the old count.
 * @property writeIntervalMs Shortest time between the starts of two writes of one bucket.
 * @property readIntervalMs Shortest time between two reads that look for writes of other sidecars.
 * @property maxBackoffMs Longest pause between two attempts while the key-value service is down.
 *   Each bucket with open operations makes one call in that time, in each sidecar.
 * @property recordTimeoutMs Time for which results are offered to a service that is down.
 * @property maxWaiting Operations that may wait for the next write of a bucket.
 */
@Serializable
data class ClaimStoreSettings(
    val bucketCount: Int = 16,
    val writeIntervalMs: Long = 50,
    val readIntervalMs: Long = 200,
    val maxBackoffMs: Long = 2_000,
    val recordTimeoutMs: Long = 600_000,
    val maxWaiting: Int = 1_024,
    val limits: ClaimLimits = ClaimLimits()
)
