package org.jacinthlink.entry.chat

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Format of OpenAI answers, in which absent values are written as null. */
internal val CompletionJson = Json {
    encodeDefaults = true
    explicitNulls = true
}

/** Answer to a request without streaming. */
@Serializable
internal data class Completion(
    val id: String,
    val created: Long,
    val model: String,
    val choices: List<CompletionChoice>,
    val usage: CompletionUsage,
    @SerialName("object") val kind: String = "chat.completion"
)

@Serializable
internal data class CompletionChoice(
    val message: CompletionMessage,
    @SerialName("finish_reason") val finishReason: String,
    val index: Int = 0
)

@Serializable
internal data class CompletionMessage(val content: String, val role: String = "assistant")

@Serializable
internal data class CompletionUsage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int = promptTokens + completionTokens
)

/** One server-sent event of a streamed answer. */
@Serializable
internal data class CompletionChunk(
    val id: String,
    val created: Long,
    val model: String,
    val choices: List<ChunkChoice>,
    @SerialName("object") val kind: String = "chat.completion.chunk"
)

@Serializable
internal data class ChunkChoice(
    val delta: ChunkDelta,
    @SerialName("finish_reason") val finishReason: String? = null,
    val index: Int = 0
)

@Serializable
internal data class ChunkDelta(
    @EncodeDefault(EncodeDefault.Mode.NEVER) val role: String? = null,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val content: String? = null
)
