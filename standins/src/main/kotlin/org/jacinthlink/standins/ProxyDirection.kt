package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/** Direction of bytes through the fault proxy. */
@Serializable
enum class ProxyDirection {
    /** From the client that connected to the proxy. */
    TO_TARGET,

    /** From the target back to that client. */
    TO_CLIENT
}
