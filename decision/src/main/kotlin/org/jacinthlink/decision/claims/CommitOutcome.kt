package org.jacinthlink.decision.claims

/** Outcome of a compare-and-swap for its writer. */
sealed interface CommitOutcome {
    /** The write took effect and its [decisions] hold. */
    data class Committed(val ring: ClaimRing, val decisions: List<ClaimDecision>) : CommitOutcome

    /** Another write took effect first; the operations must be planned again on [ring]. */
    data class Conflicting(val ring: ClaimRing) : CommitOutcome

    /** The write was not sent; the cached state of the bucket is still valid. */
    data class NotWritten(val message: String) : CommitOutcome

    /**
     * The write may have taken effect or may still take effect. The operations must be planned
     * again with the same nonces on [ring], which lacks the slot of the write.
     */
    data class InDoubt(val ring: ClaimRing, val message: String) : CommitOutcome
}
