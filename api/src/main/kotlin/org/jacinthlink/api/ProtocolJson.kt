package org.jacinthlink.api

import kotlinx.serialization.json.Json

/** JSON format of all messages. It ignores unknown keys, so that versions can be mixed. */
val ProtocolJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
    classDiscriminator = "type"
}
