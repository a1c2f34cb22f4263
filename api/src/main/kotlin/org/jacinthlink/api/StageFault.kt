package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Tells the head of [streams] that [stage] cannot be reached or failed (`POST /v1/faults`).
 *
 * @property backendServerCrashed True when the backend server broke the connection during a step.
 * @property crashId Identifies the crash, which several heads may learn of; empty without a crash.
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
 * Orders a stage to send its retained outputs of [stream] to another next stage
 * (`POST /v1/reroute`).
 *
 * @property route The stages after the receiver, the replacement among them.
 */
@Serializable
data class Reroute(val stream: StreamKey, val epoch: Int, val route: List<RouteStage>)

/** Frees all state of [streams] on the receiving stage (`POST /v1/release`). */
@Serializable
data class ReleaseStreams(val streams: List<StreamKey>)
