package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/**
 * Loses all bytes of a connection in [direction] after [afterBytes].
 *
 * Bytes are counted on each connection from the time when the fault is set. A connection that lost
 * bytes never carries any in this direction again.
 */
@Serializable
data class ProxyDrop(val direction: ProxyDirection, val afterBytes: Long = 0)
