package org.jacinthlink.decision.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * State of a [Claim]. [DONE] and [CANCELLED] are final. In every state, the key is bound to its
 * call.
 */
@Serializable
enum class ClaimState {
    /** The claiming attempt may execute the call, may have executed it, or may have crashed. */
    @SerialName("claimed")
    CLAIMED,

    /**
     * The claiming attempt did not execute the call and never will; another attempt may claim it.
     */
    @SerialName("released")
    RELEASED,

    /** The call was executed. Its result is recorded unless it was too large or was lost. */
    @SerialName("done")
    DONE,

    /** The call was not executed and never will be. */
    @SerialName("cancelled")
    CANCELLED
}
