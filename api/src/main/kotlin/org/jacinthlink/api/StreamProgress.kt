package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Progress of a stream on one stage.
 *
 * @property received Next position that the stage expects.
 * @property ran Next position that the backend server runs.
 * @property sent Next position that is sent to the next stage.
 * @property suspended True while the stage sends nothing to the next stage, because that stage did
 *   not answer or holds other layers, or because the route has changed.
 */
@Serializable
data class StreamProgress(
    val stream: StreamKey,
    val epoch: Int,
    val received: Int,
    val ran: Int,
    val sent: Int,
    val suspended: Boolean = false
)

/**
 * Response to `GET /v1/stage`.
 *
 * @property stepAgeMs Time since the step in progress began; 0 if none is in progress.
 */
@Serializable
data class StageProgress(
    val ready: Boolean,
    val stepAgeMs: Long,
    val streams: List<StreamProgress> = emptyList()
)
