package org.jacinthlink.decision.claims

import org.jacinthlink.api.Failure
import org.jacinthlink.api.Success
import org.jacinthlink.api.SwapResult
import org.jacinthlink.api.VersionedValue

/**
 * Plans how [operations] are applied to a bucket of which [cached] is known.
 *
 * An attempt owns a claim if a write with its nonce succeeded, or if its nonce is seen in a state
 * that the key-value service held. A write in doubt needs no other resolution: either its nonce is
 * seen in the next read, or the next compare-and-swap raises the version, after which the write in
 * doubt can no longer take effect.
 */
fun planCommit(
    cached: VersionedBucket?,
    operations: List<ClaimOperation>,
    nowMs: Long,
    limits: ClaimLimits = ClaimLimits()
): CommitPlan {
    if (cached == null) return CommitPlan.Read
    val change = applyOperations(cached.bucket, operations, nowMs, limits)
    return if (change.isChanged) {
        CommitPlan.Swap(cached.version, change.bucket, change.decisions)
    } else {
        CommitPlan.Answer(change.decisions)
    }
}

/** Evaluates the [result] of the compare-and-swap of [swap]. */
fun afterSwap(swap: CommitPlan.Swap, result: SwapResult): CommitOutcome =
    when (result) {
        is SwapResult.Swapped ->
            CommitOutcome.Settled(VersionedBucket(swap.bucket, result.version), swap.decisions)
        is SwapResult.Conflict -> CommitOutcome.Conflicting(versionedBucket(result.current))
        is SwapResult.NotSent -> CommitOutcome.NotWritten(result.message)
        is SwapResult.Unknown -> CommitOutcome.InDoubt(result.message)
    }

/** Decodes a value that was read; null if it is unreadable. An absent key is an empty bucket. */
fun versionedBucket(value: VersionedValue?): VersionedBucket? {
    if (value == null) return VersionedBucket(ClaimBucket.of(), 0)
    return when (val decoded = decodeBucket(value.value)) {
        is Success -> VersionedBucket(decoded.value, value.version)
        is Failure -> null
    }
}
