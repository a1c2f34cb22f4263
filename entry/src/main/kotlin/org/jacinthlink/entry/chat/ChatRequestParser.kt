package org.jacinthlink.entry.chat

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success
import org.jacinthlink.api.parseBounded
import org.jacinthlink.entry.EntryLimits
import org.jacinthlink.entry.sha256Hex

/** Reads the body of a chat completion request; every fault names the field and the value seen. */
internal fun parseChatRequest(body: String, limits: EntryLimits): Outcome<ChatRequest> =
    try {
        Success(ChatFields(Json.parseBounded(body), limits).read())
    } catch (e: SerializationException) {
        malformed("the body is not JSON: ${e.message?.lineSequence()?.first()}")
    } catch (e: InvalidField) {
        malformed(e.message)
    }

private fun malformed(message: String) = Failure(ResultCode.MALFORMED_REQUEST, message)

/** Ends the reading of one body. It never leaves this file. */
private class InvalidField(override val message: String) : RuntimeException(message)

private fun invalid(message: String): Nothing = throw InvalidField(message)

private class ChatFields(root: JsonElement, private val limits: EntryLimits) {
    private val fields = root as? JsonObject ?: invalid("the body is not an object")

    fun read(): ChatRequest {
        val model = text(fields["model"], "model")
        val messages = messages()
        val maxTokens = maxTokens()
        if (present("n")?.let { int(it, "n") } ?: 1 != 1) invalid("n: only 1 is served")
        val tokens = promptTokens(messages)
        if (tokens.size > limits.maxPromptTokens) {
            invalid("messages: ${tokens.size} tokens exceed ${limits.maxPromptTokens}")
        }
        val stream = present("stream")?.let { bool(it, "stream") } ?: false
        val sampling = SAMPLING_FIELDS.mapNotNull { name -> present(name)?.let { name to it } }
        val fingerprint = requestFingerprint(model, messages, maxTokens, sampling.toMap())
        val parts = messages.dropLast(1).map { sha256Hex("$model\n${it.role}\n${it.content}") }
        return ChatRequest(model, tokens, maxTokens, stream, fingerprint, parts)
    }

    private fun messages(): List<ChatMessage> {
        val array =
            fields["messages"] as? JsonArray ?: invalid("messages: an array is needed")
        if (array.isEmpty()) invalid("messages: at least one message is needed")
        return array.mapIndexed { index, element ->
            val message =
                element as? JsonObject ?: invalid("messages[$index]: not an object")
            ChatMessage(
                text(message["role"], "messages[$index].role"),
                content(message["content"], "messages[$index].content")
            )
        }
    }

    private fun content(element: JsonElement?, path: String): String =
        when (element) {
            is JsonArray -> element.joinToString("\n") { textPart(it, path) }
            is JsonPrimitive ->
                element.takeIf { it.isString }?.content ?: invalid("$path: not a text")
            else -> invalid("$path: a text is needed")
        }

    private fun textPart(element: JsonElement, path: String): String {
        val part = element as? JsonObject ?: invalid("$path: not an array of parts")
        if (text(part["type"], "$path.type") != "text") {
            invalid("$path: only parts of type 'text' are served")
        }
        return content(part["text"], "$path.text")
    }

    private fun maxTokens(): Int {
        val name = listOf("max_completion_tokens", "max_tokens").firstOrNull { present(it) != null }
        val value = name?.let { int(fields.getValue(it), it) } ?: limits.defaultMaxTokens
        if (value !in 1..limits.maxTokens) {
            invalid("$name: $value is not in 1..${limits.maxTokens}")
        }
        return value
    }

    private fun present(name: String): JsonElement? = fields[name]?.takeIf { it !is JsonNull }

    private fun text(element: JsonElement?, path: String): String {
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text.isNullOrBlank()) {
            invalid(
                "$path: a text is needed, was ${shown(element)}"
            )
        }
        return text
    }

    private fun int(element: JsonElement, path: String): Int =
        (element as? JsonPrimitive)?.takeIf { !it.isString }?.intOrNull
            ?: invalid("$path: an integer is needed, was ${shown(element)}")

    private fun bool(element: JsonElement, path: String): Boolean =
        (element as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
            ?: invalid("$path: true or false is needed, was ${shown(element)}")

    private fun shown(element: JsonElement?): String = element.toString().take(SHOWN)

    private companion object {
        const val SHOWN = 64
        val SAMPLING_FIELDS =
            listOf(
                "frequency_penalty",
                "logit_bias",
                "presence_penalty",
                "seed",
                "stop",
                "temperature",
                "top_p"
            )
    }
}
