package org.jacinthlink.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Role of a process. */
@Serializable
enum class Role {
    @SerialName("entry")
    ENTRY,

    @SerialName("sidecar")
    SIDECAR
}
