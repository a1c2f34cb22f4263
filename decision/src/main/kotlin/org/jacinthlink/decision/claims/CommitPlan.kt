package org.jacinthlink.decision.claims

/** Next step of a writer that has operations to apply to a bucket. */
sealed interface CommitPlan {
    /** Read the bucket, since its state is not known. */
    data object Read : CommitPlan

    /** Answer with [decisions]; they need no write. */
    data class Answer(val decisions: List<ClaimDecision>) : CommitPlan

    /** Write [bucket]; the [decisions] hold only once the write is known to have taken effect. */
    data class Swap(
        val expectedVersion: Long,
        val bucket: ClaimBucket,
        val decisions: List<ClaimDecision>
    ) : CommitPlan
}
