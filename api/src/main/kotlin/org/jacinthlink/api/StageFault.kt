package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Notifies the head of [streams] that [stage] is unreachable or has failed (`POST /v1/faults`).
 *
 * @property backendServerCrashed True if the connection to the backend server broke during a step.
 * @property crashId Identifies the crash, which may be reported to several heads; empty without a
 *   crash.
 */
@Serializable
data class StageFault(
    val streams: List<StreamKey>,
    val stage: InstanceId,
    val reporter: InstanceId,
    val backendServerCrashed: Boolean,
    val message: String,
    val crashId: String = ""
)

/**
 * Instructs a stage to send its retained outputs of [stream] to another next stage
 * (`POST /v1/reroute`).
 *
 * @property route The stages after the receiver, including the replacement.
 */
@Serializable
data class Reroute(val stream: StreamKey, val epoch: Int, val route: List<RouteStage>)

/** Frees all state of [streams] on the receiving stage (`POST /v1/release`). */
@Serializable
data class ReleaseStreams(val streams: List<StreamKey>)
