package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/** State of one listener of the fault proxy (`GET /control`). */
@Serializable
data class ProxyListenerStatus(
    val name: String,
    val address: String,
    val target: String,
    val openConnections: Int,
    val faults: ProxyFaults
)
