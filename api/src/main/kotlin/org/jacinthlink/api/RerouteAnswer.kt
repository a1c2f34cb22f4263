package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** Answer to a [Reroute]. */
@Serializable
data class RerouteAnswer(val status: RerouteStatus)

/** Outcome of a [Reroute] at its receiver. */
@Serializable
enum class RerouteStatus {
    /** The stage sends its outputs on the new route. */
    APPLIED,

    /** The stage has no state of the stream. It receives the new route with its next input. */
    UNKNOWN_STREAM,

    /** The stage already has this route or a newer one. */
    STALE_EPOCH,

    /** The stage no longer retains outputs that the new next stage needs. */
    NOT_RETAINED
}
