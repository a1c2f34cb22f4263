package org.jacinthlink.entry.chat

/** A valid chat completion request. */
internal data class ChatRequest(
    val model: String,
    val promptTokens: List<String>,
    val maxTokens: Int,
    val stream: Boolean,
    val fingerprint: String
)
