package org.jacinthlink.decision.claims

/** What a writer knows after a compare-and-swap. */
sealed interface CommitOutcome {
    /** The write took effect and its [decisions] hold. */
    data class Settled(val cached: VersionedBucket, val decisions: List<ClaimDecision>) :
        CommitOutcome

    /** Another write came first; plan again on [cached], or after a read if it is null. */
    data class Conflicting(val cached: VersionedBucket?) : CommitOutcome

    /** The write was not sent; what was known of the bucket still holds. */
    data class NotWritten(val message: String) : CommitOutcome

    /**
     * The write may have taken effect or may yet take effect. The operations are in doubt: plan
     * them again after a read, with the same nonces.
     */
    data class InDoubt(val message: String) : CommitOutcome
}
