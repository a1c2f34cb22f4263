package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/**
 * Settings of the fault proxy.
 *
 * @property controlPort Port of the control interface; 0 takes a free one.
 */
@Serializable
data class FaultProxySettings(
    val host: String = "127.0.0.1",
    val controlPort: Int = 0,
    val listeners: List<ProxyListenerSettings> = emptyList()
)
