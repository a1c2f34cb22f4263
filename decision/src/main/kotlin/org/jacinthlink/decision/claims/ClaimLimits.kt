package org.jacinthlink.decision.claims

import kotlinx.serialization.Serializable

/**
 * Limits of a bucket of claims.
 *
 * @property maxBucketBytes Size limit of a slice, below the 1 MB that the key-value service
 *   accepts for a value.
 * @property retentionMs Time for which a claim is kept after its last change of state.
 * @property clockSkewMs Largest difference between the clocks of two instances. A claim is dropped
 *   only this long after its expiry.
 * @property maxResultBytes Largest result that is recorded.
 * @property slotCount Number of values of the key-value service that a bucket uses in turn; at
 *   least 3.
 * @property minSliceBytes Size below which a slice is not sealed, whatever its age.
 */
@Serializable
data class ClaimLimits(
    val maxBucketBytes: Int = 900_000,
    val retentionMs: Long = 3_600_000,
    val clockSkewMs: Long = 60_000,
    val maxResultBytes: Int = 16_384,
    val slotCount: Int = 64,
    val minSliceBytes: Int = 4_096
) {
    /**
     * Age from which a slice is sealed. At this age, the slices in all slots but one together cover
     * the retention and twice the clock skew.
     */
    val sliceMs: Long get() = (retentionMs + 2 * clockSkewMs) / (slotCount - 1) + 1

    /** Returns the slot that stores the slice [generation]. */
    fun slotOf(generation: Long): Int = (generation % slotCount).toInt()
}
