package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Load of a sidecar.
 *
 * @property queuedRequests Requests that wait for the backend server.
 * @property runningStreams Streams or calls in execution.
 * @property expectedWaitMs Estimated wait of a new request before its first token or its call.
 * @property reportedAtMs Time of the report by the clock of the sidecar.
 */
@Serializable
data class LoadReport(
    val queuedRequests: Int = 0,
    val runningStreams: Int = 0,
    val expectedWaitMs: Double = 0.0,
    val reportedAtMs: Long = 0
)
