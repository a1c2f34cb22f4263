package org.jacinthlink.decision.claims

/**
 * Claims that share one value of the key-value service.
 *
 * @property generation Position among the slices of a bucket. A slice is opened only after the
 *   slice before it was sealed.
 * @property openedAtMs Time of the first write to the slice.
 * @property isSealed True if the slice never changes again until its slot is reused.
 */
data class ClaimSlice(
    val generation: Long,
    val openedAtMs: Long,
    val isSealed: Boolean,
    val bucket: ClaimBucket
) {
    /** True once no claim of this slice binds its key any more. */
    fun isExpired(nowMs: Long, limits: ClaimLimits): Boolean =
        nowMs >= bucket.lastExpiryMs + limits.clockSkewMs
}
