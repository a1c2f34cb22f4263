package org.jacinthlink.api

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/**
 * What a JSON text from outside may take to be parsed.
 *
 * The memory and the time of a parser grow with the number of values much more than with the length
 * of the text: a list in brackets of two bytes takes nearly a hundred. Texts are therefore measured
 * before they are parsed. The measurement allocates nothing.
 *
 * @property maxCharacters Maximum length of the text.
 * @property maxDepth Maximum nesting of brackets.
 * @property maxValues Maximum number of values, lists and objects included.
 */
class JsonBounds(val maxCharacters: Int, val maxDepth: Int, val maxValues: Int) {
    /** Returns which bound [text] exceeds, or null if it is within all of them. */
    fun violation(text: String): String? =
        if (text.length > maxCharacters) {
            "longer than $maxCharacters characters"
        } else {
            structureViolation(text)
        }

    /** Brackets and commas within strings do not count. */
    private fun structureViolation(text: String): String? {
        var depth = 0
        var values = 1
        var inString = false
        var i = 0
        while (i < text.length) {
            when (text[i]) {
                '"' -> inString = !inString
                '\\' -> if (inString) i++
                '[', '{' -> if (!inString) {
                    depth++
                    values++
                }
                ']', '}' -> if (!inString) depth--
                ',' -> if (!inString) values++
            }
            if (depth > maxDepth) return "nested more than $maxDepth levels deep"
            if (values > maxValues) return "more than $maxValues values"
            i++
        }
        return null
    }

    companion object {
        /**
         * Bounds for the messages of all protocols. The longest ones are pages of a store and
         * snapshots of peers.
         */
        val MESSAGE: JsonBounds =
            JsonBounds(maxCharacters = 8 * 1_024 * 1_024, maxDepth = 64, maxValues = 100_000)
    }
}

/**
 * Decodes [text] if it is within [bounds].
 *
 * @throws SerializationException if it is not, or is not valid JSON for [deserializer].
 */
fun <T> Json.decodeBounded(
    deserializer: DeserializationStrategy<T>,
    text: String,
    bounds: JsonBounds = JsonBounds.MESSAGE
): T {
    requireWithin(bounds, text)
    return decodeFromString(deserializer, text)
}

/**
 * Parses [text] into a tree if it is within [bounds].
 *
 * @throws SerializationException if it is not, or is not valid JSON.
 */
fun Json.parseBounded(text: String, bounds: JsonBounds = JsonBounds.MESSAGE): JsonElement {
    requireWithin(bounds, text)
    return parseToJsonElement(text)
}

private fun requireWithin(bounds: JsonBounds, text: String) {
    bounds.violation(text)?.let { throw SerializationException(it) }
}
