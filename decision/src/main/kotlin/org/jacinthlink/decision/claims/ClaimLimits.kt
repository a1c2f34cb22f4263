package org.jacinthlink.decision.claims

import kotlinx.serialization.Serializable

/**
 * Bounds of a [ClaimBucket].
 *
 * @property maxBucketBytes Below the 1 MB that the key-value service accepts for a value.
 * @property retentionMs Time for which a key is remembered after its last change of state.
 * @property clockSkewMs Largest difference between the clocks of two instances. A claim is dropped
 *   only this long after its expiry.
 * @property maxResultBytes Largest result that is recorded.
 */
@Serializable
data class ClaimLimits(
    val maxBucketBytes: Int = 900_000,
    val retentionMs: Long = 3_600_000,
    val clockSkewMs: Long = 60_000,
    val maxResultBytes: Int = 16_384
)
