package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Load of a sidecar.
 *
 * @property queuedRequests Number of requests that wait for the backend server.
 * @property runningStreams Number of streams or calls in execution.
 * @property expectedWaitMs Estimated time until the first token of a new stream, or until the start
 *   of a new call.
 * @property reportedAtMs Time of the report on the clock of the sidecar.
 */
@Serializable
data class LoadReport(
    val queuedRequests: Int = 0,
    val runningStreams: Int = 0,
    val expectedWaitMs: Double = 0.0,
    val reportedAtMs: Long = 0
)
