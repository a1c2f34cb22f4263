package org.jacinthlink.decision.claims

import org.jacinthlink.api.Failure
import org.jacinthlink.api.Success
import org.jacinthlink.api.SwapResult
import org.jacinthlink.api.VersionedValue

/**
 * Plans how [operations] are applied to a bucket of which [ring] is known.
 *
 * An attempt owns a claim if a write with its nonce succeeded, or if its nonce is seen in a state
 * that the key-value service held. A write in doubt needs no other resolution: either its nonce is
 * seen in the next read, or the next compare-and-swap raises the version, after which the write in
 * doubt can no longer take effect.
 */
fun planCommit(
    ring: ClaimRing,
    operations: List<ClaimOperation>,
    nowMs: Long,
    limits: ClaimLimits = ClaimLimits()
): CommitPlan {
    ring.slotToRead(nowMs, limits)?.let { return CommitPlan.Read(it) }
    val open = ring.openSlice(nowMs)
    val change =
        applyOperations(open.bucket, operations, nowMs, limits) { ring.find(it, nowMs, limits) }
    if (!change.isChanged) return CommitPlan.Answer(change.decisions)
    val slot = limits.slotOf(open.generation)
    val changed = open.copy(bucket = change.bucket)
    val slice = changed.copy(isSealed = ring.isSealDue(changed, nowMs, limits))
    return CommitPlan.Swap(slot, ring.versionOf(slot), slice, change.decisions)
}

/** Evaluates the [result] of the compare-and-swap of [swap], which was planned on [ring]. */
fun applySwapResult(ring: ClaimRing, swap: CommitPlan.Swap, result: SwapResult): CommitOutcome =
    when (result) {
        is SwapResult.Swapped ->
            CommitOutcome.Committed(
                ring.with(swap.slot, VersionedSlice(swap.slice, result.version)),
                swap.decisions
            )
        is SwapResult.Conflict -> CommitOutcome.Conflicting(afterConflict(ring, swap, result))
        is SwapResult.NotSent -> CommitOutcome.NotWritten(result.message)
        is SwapResult.Unknown ->
            CommitOutcome.InDoubt(ring.without(swap.slot), result.message)
    }

/** Takes the [value] that was read from [slot]; null if it is unreadable or lost. */
fun applyRead(
    ring: ClaimRing,
    slot: Int,
    value: VersionedValue?,
    limits: ClaimLimits = ClaimLimits()
): ClaimRing? {
    val found = versionedSlice(value) ?: return null
    val next = ring.with(slot, found)
    // A known generation implies the ones before it; a slot that lacks its own lost its claims.
    return next.takeUnless { found.generation < it.requiredGeneration(slot, limits) }
}

private val VersionedSlice.generation: Long get() = slice?.generation ?: NO_GENERATION

private fun afterConflict(ring: ClaimRing, swap: CommitPlan.Swap, result: SwapResult.Conflict) =
    versionedSlice(result.current)?.let { ring.with(swap.slot, it) } ?: ring.without(swap.slot)

/** Decodes a value that was read; null if it is unreadable. */
private fun versionedSlice(value: VersionedValue?): VersionedSlice? {
    if (value == null) return VersionedSlice(null, 0)
    return when (val decoded = decodeSlice(value.value)) {
        is Success -> VersionedSlice(decoded.value, value.version)
        is Failure -> null
    }
}

private const val NO_GENERATION = -1L
