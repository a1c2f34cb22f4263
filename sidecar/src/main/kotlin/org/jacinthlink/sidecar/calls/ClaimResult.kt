package org.jacinthlink.sidecar.calls

import org.jacinthlink.decision.claims.ClaimDecision

/** Result of an operation on a claim. */
sealed interface ClaimResult {
    /** The decision holds in the key-value service. */
    data class Decided(val decision: ClaimDecision) : ClaimResult

    /**
     * The operation was given up. What it wrote may still take effect, but an attempt that gets
     * this result does not own its claim.
     */
    data class Unavailable(val message: String) : ClaimResult
}
