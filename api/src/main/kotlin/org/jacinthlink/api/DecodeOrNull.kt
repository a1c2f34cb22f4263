package org.jacinthlink.api

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Decodes [text], or returns null if it exceeds [bounds] or is not valid JSON for [serializer]. */
fun <T> Json.decodeOrNull(
    serializer: KSerializer<T>,
    text: String,
    bounds: JsonBounds = JsonBounds.MESSAGE
): T? =
    try {
        decodeBounded(serializer, text, bounds)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
