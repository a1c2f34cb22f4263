package org.jacinthlink.sidecar.calls

import java.util.concurrent.CompletableFuture
import org.jacinthlink.decision.claims.ClaimDecision
import org.jacinthlink.decision.claims.ClaimOperation

/**
 * Operation that waits for a write of its bucket.
 *
 * @property isBackground True if no caller waits, so that an outage is waited out.
 * @property needsFreshRead True if another sidecar may have changed the claim.
 */
internal class PendingOperation(
    val operation: ClaimOperation,
    val deadlineMs: Long,
    val isBackground: Boolean = false,
    val needsFreshRead: Boolean = false
) {
    val future = CompletableFuture<ClaimResult>()

    /** True after a write with this operation of which it is unknown whether it took effect. */
    var isInDoubt = false

    fun giveUp(message: String) = future.complete(ClaimResult.Unavailable(message))

    /** Returns false if the operation was given up before. */
    fun settle(decision: ClaimDecision) = future.complete(ClaimResult.Decided(decision))
}
