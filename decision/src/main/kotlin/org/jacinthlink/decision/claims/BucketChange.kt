package org.jacinthlink.decision.claims

/** Result of [applyOperations]: the new [bucket], and the [decisions] in operation order. */
data class BucketChange(
    val bucket: ClaimBucket,
    val decisions: List<ClaimDecision>,
    val isChanged: Boolean
)
