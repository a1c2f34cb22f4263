package org.jacinthlink.decision.claims

/** Next step of a writer that has operations to apply to a bucket. */
sealed interface CommitPlan {
    /** Read [slot], since its state is not known. */
    data class Read(val slot: Int) : CommitPlan

    /** Answer with [decisions]; they need no write. */
    data class Answer(val decisions: List<ClaimDecision>) : CommitPlan

    /**
     * Write [slice] to [slot]; the [decisions] hold only once the write is known to have taken
     * effect.
     */
    data class Swap(
        val slot: Int,
        val expectedVersion: Long,
        val slice: ClaimSlice,
        val decisions: List<ClaimDecision>
    ) : CommitPlan
}
