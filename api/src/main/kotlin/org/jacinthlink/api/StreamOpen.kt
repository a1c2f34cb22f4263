package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Opens a stream at a head sidecar (`POST /v1/streams`).
 *
 * @property emittedTokens Tokens that the caller already has if this attempt resumes a stream.
 * @property remainingMs Time left until the first token is due, measured at sending.
 * @property fingerprint Hash of the normalised content of the request.
 * @property isolated True if the request must run alone in its batch.
 */
@Serializable
data class StreamOpen(
    val stream: StreamKey,
    val workspace: WorkspaceId,
    val workClass: String,
    val model: String,
    val promptTokens: List<String>,
    val emittedTokens: List<String> = emptyList(),
    val maxTokens: Int,
    val remainingMs: Long,
    val fingerprint: String,
    val isolated: Boolean = false
)
