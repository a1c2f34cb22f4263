package org.jacinthlink.decision.claims

/** Claims of a [ClaimSlice] by key, with their encoded size. */
class ClaimBucket private constructor(val claims: Map<String, Claim>, val sizeBytes: Int) {
    /** Latest expiry of the claims; 0 if there are none. */
    internal val lastExpiryMs: Long by lazy {
        claims.values.maxOfOrNull { it.expiresAtMs } ?: 0
    }

    override fun equals(other: Any?) = other is ClaimBucket && other.claims == claims

    override fun hashCode() = claims.hashCode()

    override fun toString() = "ClaimBucket($claims)"

    companion object {
        /** Creates a bucket with [claims]. */
        fun of(claims: Collection<Claim> = emptyList()): ClaimBucket =
            of(claims.associateBy { it.key })

        internal fun of(claims: Map<String, Claim>) =
            ClaimBucket(claims, claims.values.sumOf { it.sizeBytes })
    }
}

/**
 * Applies [operations] in order to [bucket], after dropping its expired claims.
 *
 * @param findOlder Looks up a claim that is not in [bucket] in the sealed slices before it.
 */
fun applyOperations(
    bucket: ClaimBucket,
    operations: List<ClaimOperation>,
    nowMs: Long,
    limits: ClaimLimits = ClaimLimits(),
    findOlder: (String) -> Claim? = { null }
): BucketChange {
    val edit = BucketEdit(prune(bucket, nowMs, limits), nowMs, limits, findOlder)
    val decisions = operations.map(edit::apply)
    return if (edit.isChanged) {
        BucketChange(ClaimBucket.of(edit.claims.toMap()), decisions, isChanged = true)
    } else {
        BucketChange(bucket, decisions, isChanged = false)
    }
}

/** Drops the claims whose expiry is at least the clock skew ago. */
fun prune(bucket: ClaimBucket, nowMs: Long, limits: ClaimLimits = ClaimLimits()): ClaimBucket {
    val kept = bucket.claims.filterValues { nowMs < it.expiresAtMs + limits.clockSkewMs }
    return if (kept.size == bucket.claims.size) bucket else ClaimBucket.of(kept)
}
