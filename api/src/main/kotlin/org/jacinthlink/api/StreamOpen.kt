package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Opens a stream at a head sidecar (`POST /v1/streams`).
 *
 * @property emittedTokens Tokens that the caller already has, when this attempt resumes a stream.
 * @property remainingMs Time left until the first token is due, counted from sending.
 * @property fingerprint Hash of the normalised content of the request.
 * @property isolated True when the request must run without others in its batch.
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
