package org.jacinthlink.decision.claims

/** Result of a change: the new [bucket], and the [decisions] in the order of the operations. */
data class BucketChange(
    val bucket: ClaimBucket,
    val decisions: List<ClaimDecision>,
    val isChanged: Boolean
)
