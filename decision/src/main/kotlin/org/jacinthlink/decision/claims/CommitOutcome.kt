package org.jacinthlink.decision.claims

/** What a writer knows after a compare-and-swap. */
sealed interface CommitOutcome {
    /** The write took effect and its [decisions] hold. */
    data class Committed(val ring: ClaimRing, val decisions: List<ClaimDecision>) : CommitOutcome

    /** Another write came first; plan again on [ring]. */
    data class Conflicting(val ring: ClaimRing) : CommitOutcome

    /** The write was not sent; what was known of the bucket still holds. */
    data class NotWritten(val message: String) : CommitOutcome

    /**
     * The write may have taken effect or may yet take effect. The operations are in doubt: plan
     * them again on [ring], which lacks the slot of the write, with the same nonces.
     */
    data class InDoubt(val ring: ClaimRing, val message: String) : CommitOutcome
}
