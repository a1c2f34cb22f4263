package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** Answer to a [Reroute]. */
@Serializable
data class RerouteAnswer(val status: RerouteStatus)

/** Fate of a [Reroute] at its receiver. */
@Serializable
enum class RerouteStatus {
    /** The outputs are being sent on the new route. */
    APPLIED,

    /** The stage has no state of the stream; it takes the new route from its next input. */
    UNKNOWN_STREAM,

    /** The stage knows a newer route. */
    STALE_EPOCH,

    /** Outputs that a new next stage needs are no longer retained. */
    NOT_RETAINED
}
