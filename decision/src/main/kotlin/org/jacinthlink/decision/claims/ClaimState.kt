package org.jacinthlink.decision.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a [Claim]. Done and cancelled are final. In any state the key is bound to its call. */
@Serializable
enum class ClaimState {
    /** The claimer may execute the call, may have executed it, or may be dead. */
    @SerialName("claimed")
    CLAIMED,

    /** The claimer did not execute the call and never will; another attempt may claim it. */
    @SerialName("released")
    RELEASED,

    /** The call was executed; its result is recorded unless it was too large or lost. */
    @SerialName("done")
    DONE,

    /** The call was not executed and never will be. */
    @SerialName("cancelled")
    CANCELLED
}
