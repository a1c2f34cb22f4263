package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * How far a stream came on one stage.
 *
 * @property received Next position that the stage takes.
 * @property ran Next position that the backend server runs.
 * @property sent Next position that goes to the stage behind.
 * @property suspended True while the stage behind is known to have failed.
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
 * Answer to `GET /v1/stage`.
 *
 * @property stepAgeMs Time since the step in progress began; 0 if none is in progress.
 */
@Serializable
data class StageProgress(
    val ready: Boolean,
    val stepAgeMs: Long,
    val streams: List<StreamProgress> = emptyList()
)
