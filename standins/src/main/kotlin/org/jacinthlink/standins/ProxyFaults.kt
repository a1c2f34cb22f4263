package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/**
 * Lasting faults of one listener of the fault proxy.
 *
 * @property refuse True to refuse new connections. Existing ones go on.
 * @property delayMs Delay of all bytes in each direction.
 * @property bytesPerSecond Rate that all connections share in each direction; 0 sets no limit.
 * @property drop Loses bytes; null loses none.
 * @property hold Direction whose bytes are kept back until this is null again. They are delivered
 *   then, even if the sender has closed its connection.
 */
@Serializable
data class ProxyFaults(
    val refuse: Boolean = false,
    val delayMs: Double = 0.0,
    val bytesPerSecond: Long = 0,
    val drop: ProxyDrop? = null,
    val hold: ProxyDirection? = null
)
