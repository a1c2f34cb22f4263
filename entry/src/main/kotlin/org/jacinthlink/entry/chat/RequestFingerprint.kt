package org.jacinthlink.entry.chat

import java.math.BigDecimal
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.jacinthlink.entry.sha256Hex

/**
 * SHA-256 over the content of a request in a normal form: keys sorted, white space in messages
 * collapsed, numbers without trailing zeros. Repeated requests of one content are equal by it.
 */
internal fun requestFingerprint(
    model: String,
    messages: List<ChatMessage>,
    maxTokens: Int,
    sampling: Map<String, JsonElement>
): String {
    val content =
        JsonObject(
            mapOf(
                "model" to JsonPrimitive(model),
                "messages" to JsonArray(messages.map(::normalMessage)),
                "max_tokens" to JsonPrimitive(maxTokens),
                "sampling" to JsonObject(sampling)
            )
        )
    return sha256Hex(normal(content).toString())
}

private fun normalMessage(message: ChatMessage): JsonElement =
    JsonArray(
        listOf(
            JsonPrimitive(message.role.trim()),
            JsonPrimitive(message.content.trim().replace(WHITE_SPACE, " "))
        )
    )

private fun normal(element: JsonElement): JsonElement =
    when (element) {
        is JsonObject -> JsonObject(element.toSortedMap().mapValues { normal(it.value) })
        is JsonArray -> JsonArray(element.map(::normal))
        is JsonPrimitive -> if (element.isString) element else normalNumber(element)
    }

// The scientific form stays short for any exponent.
private fun normalNumber(element: JsonPrimitive): JsonElement =
    element.content.toBigDecimalOrNull()
        ?.let { JsonPrimitive(it.stripTrailingZeros().normalZero().toString()) }
        ?: element

private fun BigDecimal.normalZero(): BigDecimal = if (signum() == 0) BigDecimal.ZERO else this

private val WHITE_SPACE = Regex("\\s+")
