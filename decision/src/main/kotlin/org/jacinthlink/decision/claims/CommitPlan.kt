package org.jacinthlink.decision.claims

/** Next step of a writer that applies operations to a bucket. */
sealed interface CommitPlan {
    /** Read [slot], whose content is not cached. */
    data class Read(val slot: Int) : CommitPlan

    /** Return [decisions], which need no write. */
    data class Answer(val decisions: List<ClaimDecision>) : CommitPlan

    /**
     * Write [slice] to [slot]. The [decisions] are valid only once the write is known to have taken
     * effect.
     */
    data class Swap(
        val slot: Int,
        val expectedVersion: Long,
        val slice: ClaimSlice,
        val decisions: List<ClaimDecision>
    ) : CommitPlan
}
