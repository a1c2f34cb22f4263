package org.jacinthlink.decision.claims

/** Answer to a [ClaimOperation]. */
sealed interface ClaimDecision {
    /** The claim belongs to the attempt that asked, which may execute. */
    data object Owned : ClaimDecision

    /** [claim] belongs to another attempt and has no result yet. */
    data class Held(val claim: Claim) : ClaimDecision

    /** The call was executed; [result] is null if none is recorded. */
    data class Done(val result: RecordedResult?) : ClaimDecision

    /** The call was not executed and never will be. */
    data object Cancelled : ClaimDecision

    /** The attempt that asked has no claim any more. */
    data object Released : ClaimDecision

    /** The key is bound to a call with another body. */
    data object KeyReused : ClaimDecision

    /** The bucket has no room for another claim. */
    data object Full : ClaimDecision
}
