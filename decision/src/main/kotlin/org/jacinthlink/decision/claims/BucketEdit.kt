package org.jacinthlink.decision.claims

/** Mutable copy of a bucket, to which one batch of operations is applied. */
internal class BucketEdit(
    bucket: ClaimBucket,
    private val nowMs: Long,
    private val limits: ClaimLimits,
    private val findOlder: (String) -> Claim?
) {
    val claims: MutableMap<String, Claim> = bucket.claims.toMutableMap()
    var isChanged = false
        private set
    private var sizeBytes = bucket.sizeBytes

    fun apply(operation: ClaimOperation): ClaimDecision =
        when (operation) {
            is ClaimOperation.Begin -> begin(operation)
            is ClaimOperation.Complete -> complete(operation)
            is ClaimOperation.Cancel -> cancel(operation)
            is ClaimOperation.Release -> release(operation)
        }

    private fun find(key: String): Claim? = claims[key] ?: findOlder(key)

    private fun begin(operation: ClaimOperation.Begin): ClaimDecision {
        val existing = find(operation.key)
        decide(existing, operation.bodyHash, operation.nonce)?.let { return it }
        val claim =
            newClaim(operation, operation.bodyHash, ClaimState.CLAIMED)
                .copy(dueAtMs = operation.dueAtMs)
        return if (put(claim)) ClaimDecision.Owned else ClaimDecision.Full
    }

    /** Returns the decision that an existing [claim] implies; null if the call can be claimed. */
    private fun decide(claim: Claim?, bodyHash: String, nonce: String): ClaimDecision? =
        when {
            claim == null -> null
            claim.bodyHash != bodyHash -> ClaimDecision.KeyReused
            claim.state == ClaimState.DONE -> ClaimDecision.Done(claim.result)
            claim.state == ClaimState.CANCELLED -> ClaimDecision.Cancelled
            claim.state == ClaimState.RELEASED -> null
            claim.nonce == nonce -> ClaimDecision.Owned
            else -> ClaimDecision.Held(claim)
        }

    private fun complete(operation: ClaimOperation.Complete): ClaimDecision {
        val existing = find(operation.key)
        val decision = decide(existing, operation.bodyHash, operation.nonce)
        if (decision != null && decision != ClaimDecision.Owned) return decision
        val done =
            newClaim(operation, operation.bodyHash, ClaimState.DONE)
                .copy(claimedAtMs = existing?.claimedAtMs ?: nowMs)
        val recorded = done.copy(result = operation.result?.takeIf(::isRecordable))
        // Without a result, the done claim fits into the space reserved when the claim was made.
        if (!put(recorded)) replace(done)
        return ClaimDecision.Done(claims.getValue(operation.key).result)
    }

    private fun isRecordable(result: RecordedResult): Boolean {
        val headerBytes = result.headers.entries.sumOf { it.key.length + it.value.length }
        return headerBytes + result.body.encodeToByteArray().size <= limits.maxResultBytes
    }

    private fun cancel(operation: ClaimOperation.Cancel): ClaimDecision {
        val existing = find(operation.key)
        val decision = decide(existing, operation.bodyHash, operation.nonce)
        if (decision != null && decision != ClaimDecision.Owned) return decision
        val cancelled = newClaim(operation, operation.bodyHash, ClaimState.CANCELLED)
        return if (put(cancelled)) ClaimDecision.Cancelled else ClaimDecision.Full
    }

    private fun release(operation: ClaimOperation.Release): ClaimDecision {
        val existing = find(operation.key)
        if (existing?.nonce == operation.nonce && existing.state == ClaimState.CLAIMED) {
            replace(existing.copy(state = ClaimState.RELEASED))
        }
        return ClaimDecision.Released
    }

    private fun newClaim(operation: ClaimOperation, bodyHash: String, state: ClaimState) =
        Claim(
            key = operation.key,
            bodyHash = bodyHash,
            // No attempt owns a claim in a final state.
            nonce = if (state == ClaimState.CLAIMED) operation.nonce else "",
            state = state,
            claimedAtMs = nowMs,
            dueAtMs = nowMs,
            expiresAtMs = nowMs + limits.retentionMs
        )

    private fun put(claim: Claim): Boolean {
        val replacedBytes = claims[claim.key]?.sizeBytes ?: 0
        val fits = sizeBytes - replacedBytes + claim.sizeBytes <= limits.maxBucketBytes
        if (fits) replace(claim)
        return fits
    }

    private fun replace(claim: Claim) {
        sizeBytes += claim.sizeBytes - (claims.put(claim.key, claim)?.sizeBytes ?: 0)
        isChanged = true
    }
}
