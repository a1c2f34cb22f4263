package org.jacinthlink.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Role of a process. */
@Serializable
enum class Role {
    /** Receives the requests of callers and forwards them to sidecars. */
    @SerialName("entry")
    ENTRY,

    /** Runs beside one backend server and passes requests to it. */
    @SerialName("sidecar")
    SIDECAR
}
