package org.jacinthlink.decision.claims

/**
 * Part of a bucket, stored as one value of the key-value service.
 *
 * @property generation Position in the sequence of slices of a bucket. A slice is opened only after
 *   the slice before it was sealed.
 * @property openedAtMs Time of the first write to the slice.
 * @property isSealed True if the slice does not change until its slot is reused.
 */
data class ClaimSlice(
    val generation: Long,
    val openedAtMs: Long,
    val isSealed: Boolean,
    val bucket: ClaimBucket
) {
    /** True once all claims of this slice have expired, including the clock skew. */
    fun isExpired(nowMs: Long, limits: ClaimLimits): Boolean =
        nowMs >= bucket.lastExpiryMs + limits.clockSkewMs
}
