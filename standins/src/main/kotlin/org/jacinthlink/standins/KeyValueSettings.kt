package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/**
 * Settings of the key-value stand-in.
 *
 * @property callsPerSecond Calls over this rate get status 429; 0 sets no limit.
 */
@Serializable
data class KeyValueSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val callsPerSecond: Int = 0,
    val maxValueBytes: Int = 1_048_576,
    val faults: KeyValueFaults = KeyValueFaults()
)
