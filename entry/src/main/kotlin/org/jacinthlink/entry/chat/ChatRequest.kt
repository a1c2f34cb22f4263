package org.jacinthlink.entry.chat

/**
 * A valid chat completion request.
 *
 * @property parts Hash of each message before the last one, which other requests may share.
 */
internal data class ChatRequest(
    val model: String,
    val promptTokens: List<String>,
    val maxTokens: Int,
    val stream: Boolean,
    val fingerprint: String,
    val parts: List<String> = emptyList()
)
