package org.jacinthlink.sidecar.calls

import org.jacinthlink.api.CallAnswer

/** What follows for a call from the state of its claim. */
internal sealed interface ClaimStep {
    /** The call may run. */
    data object Owned : ClaimStep

    /** Another attempt holds the claim and may yet bring the result. */
    data object Held : ClaimStep

    /** The call is answered without a run. */
    data class Ended(val answer: CallAnswer) : ClaimStep
}
