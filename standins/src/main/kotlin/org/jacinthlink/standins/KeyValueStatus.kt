package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/** Answer of `GET /control`: the faults in force and the calls so far, refused ones included. */
@Serializable
data class KeyValueStatus(val faults: KeyValueFaults, val calls: Map<String, Long>)
