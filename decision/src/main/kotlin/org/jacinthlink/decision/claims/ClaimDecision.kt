package org.jacinthlink.decision.claims

/** Result of a [ClaimOperation]. */
sealed interface ClaimDecision {
    /** The requesting attempt owns the claim and may execute the call. */
    data object Owned : ClaimDecision

    /** Another attempt owns [claim], which has no result yet. */
    data class Held(val claim: Claim) : ClaimDecision

    /** The call was executed; [result] is null if none is recorded. */
    data class Done(val result: RecordedResult?) : ClaimDecision

    /** The call was not executed and never will be. */
    data object Cancelled : ClaimDecision

    /** The requesting attempt no longer owns a claim. */
    data object Released : ClaimDecision

    /** The key is bound to a call with a different body. */
    data object KeyReused : ClaimDecision

    /** The bucket has no space for another claim. */
    data object Full : ClaimDecision
}
