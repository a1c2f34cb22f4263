package org.jacinthlink.api

import kotlinx.serialization.json.Json

/** JSON format of all messages. Unknown keys are ignored, so that versions can be mixed. */
val ProtocolJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
    classDiscriminator = "type"
}
