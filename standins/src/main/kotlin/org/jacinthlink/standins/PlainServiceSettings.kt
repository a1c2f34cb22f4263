package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/**
 * Settings of the plain-service stand-in.
 *
 * @property collections Path segments under which `POST` makes a record.
 */
@Serializable
data class PlainServiceSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val collections: Set<String> =
        setOf("bookings", "payments", "bid-confirmations", "deposit-releases"),
    val faults: PlainServiceFaults = PlainServiceFaults()
)
