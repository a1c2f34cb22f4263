@file:OptIn(ExperimentalSerializationApi::class)

package org.jacinthlink.router.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import org.jacinthlink.decision.fleet.ServerStart

/** Requests of the sender that are [inFlight] at one start of a server of the plain [service]. */
@Serializable
internal data class PlainLoad(
    @ProtoNumber(1) val service: String,
    @ProtoNumber(2) val instanceId: String,
    @ProtoNumber(3) val bornAtMs: Long,
    @ProtoNumber(4) val inFlight: Int
) {
    internal fun isValid(): Boolean = inFlight in IN_FLIGHT
}

/** True if the number of entries and all counts are within their ranges. */
internal fun List<PlainLoad>.areValid(): Boolean =
    size <= MAX_PLAIN_LOADS && all { it.isValid() }

/** These loads as entries of a gossip message: the largest if there are too many. */
internal fun List<PlainLoad>.toGossip(): List<PlainLoad> =
    sortedByDescending { it.inFlight }.take(MAX_PLAIN_LOADS)

/** Requests of all [peers] in flight at each server of a plain service. */
internal fun sumOfPlainLoads(peers: List<GossipMessage>): Map<ServerStart, Int> =
    peers.flatMap { it.plainLoads }
        .groupingBy { ServerStart(it.instanceId, it.bornAtMs) }
        .fold(0) { sum, load -> (sum + load.inFlight).coerceAtMost(IN_FLIGHT.last) }

/** Bound of a message, so that it fits into a datagram. */
private const val MAX_PLAIN_LOADS = 256
private val IN_FLIGHT = 0..1_000_000
