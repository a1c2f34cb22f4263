package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/** Listener [name] on [port] that passes connections on to [target], as `127.0.0.1:7101`. */
@Serializable
data class ProxyListenerSettings(val name: String, val target: String, val port: Int = 0)
