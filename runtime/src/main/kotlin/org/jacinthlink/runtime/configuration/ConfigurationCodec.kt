package org.jacinthlink.runtime.configuration

import org.jacinthlink.api.Configuration
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.VersionedValue
import org.jacinthlink.api.decodeOrNull

/** Key of the document in the key-value service. */
internal const val CONFIGURATION_KEY = "jacinthlink/config"

/** JSON of [configuration]. */
internal fun encodeConfiguration(configuration: Configuration): String =
    ProtocolJson.encodeToString(Configuration.serializer(), configuration)

/** Document in [json], or null if it is not one. */
internal fun decodeConfiguration(json: String): Configuration? =
    ProtocolJson.decodeOrNull(Configuration.serializer(), json)

/** Document in [stored]; its revision is the version of the key. Null if it is not readable. */
internal fun decodeStored(stored: VersionedValue?): Configuration? =
    if (stored == null) {
        Configuration()
    } else {
        decodeConfiguration(stored.value)?.copy(revision = stored.version)
    }
