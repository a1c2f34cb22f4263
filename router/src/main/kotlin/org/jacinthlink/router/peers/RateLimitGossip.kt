@file:OptIn(ExperimentalSerializationApi::class)

package org.jacinthlink.router.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import org.jacinthlink.decision.fleet.ServerStart
import org.jacinthlink.decision.limits.PeerUse
import org.jacinthlink.decision.limits.RateLimitNotice
import org.jacinthlink.decision.limits.TimedNotice
import org.jacinthlink.decision.retry.budgetPart
import org.jacinthlink.router.relay.ServerThrottle
import org.jacinthlink.router.state.ServerRegistry

/**
 * Part of a gossip message about servers that take a limited rate of requests.
 *
 * @property servers What the sender knows of these servers, and what it has sent to them.
 * @property demands Requests for their services that have arrived at the sender.
 */
@Serializable
internal data class RateLimitGossip(
    @ProtoNumber(1) val servers: List<LimitedServer> = emptyList(),
    @ProtoNumber(2) val demands: List<ServiceRequests> = emptyList()
) {
    /** True if all rates, ages, counts and numbers of entries are within their ranges. */
    fun isValid(): Boolean =
        servers.size <= MAX_SERVERS &&
            demands.size <= MAX_SERVERS &&
            servers.all { it.isValid() } &&
            demands.all { it.requests in COUNTS }
}

/**
 * A server whose limit, or the end of it, was reported [ageMs] ago.
 *
 * @property requestsPerS Requests a second that the server takes, or null if it has no limit now.
 * @property sent Requests that the sender has sent to the server within the last seconds.
 */
@Serializable
internal data class LimitedServer(
    @ProtoNumber(1) val instanceId: String,
    @ProtoNumber(2) val bornAtMs: Long,
    @ProtoNumber(3) val requestsPerS: Double? = null,
    @ProtoNumber(4) val ageMs: Long,
    @ProtoNumber(5) val sent: Int
) {
    internal fun isValid(): Boolean =
        (requestsPerS ?: 0.0) in RATES_PER_S && ageMs in AGES_MS && sent in COUNTS

    internal val start: ServerStart get() = ServerStart(instanceId, bornAtMs)
}

/** Number of [requests] for [service] that have arrived at the sender within the last seconds. */
@Serializable
internal data class ServiceRequests(
    @ProtoNumber(1) val service: String,
    @ProtoNumber(2) val requests: Int
)

/** What the peers are to know of limited servers, or null if there are none. */
internal fun ServerThrottle.toGossip(servers: ServerRegistry, nowMs: Long): RateLimitGossip? {
    val limited = limits.limited(nowMs).keys
    val recent = limits.noticesSince(nowMs - LIFTED_MS).filterKeys { it !in limited }
    val known = limits.noticesSince(Long.MIN_VALUE).filterKeys { it in limited } + recent
    if (known.isEmpty()) return null
    val services = known.keys.mapNotNull { servers.byId(it.instanceId)?.service }.distinct()
    return RateLimitGossip(
        known.entries.take(MAX_SERVERS).map { (server, notice) ->
            LimitedServer(
                server.instanceId,
                server.bornAtMs,
                (notice.notice as? RateLimitNotice.Limited)?.requestsPerS,
                nowMs - notice.atMs,
                limits.sentCount(server, nowMs)
            )
        },
        services.take(MAX_SERVERS).map { ServiceRequests(it, demand.count(it, nowMs)) }
    )
}

/** The notice of this server, as of [nowMs] on the receiver's clock. */
internal fun LimitedServer.toNotice(nowMs: Long): TimedNotice {
    val notice = requestsPerS?.let { RateLimitNotice.Limited(it) } ?: RateLimitNotice.Unlimited
    return TimedNotice(notice, nowMs - ageMs)
}

/**
 * What the routers behind the latest messages [peers] do, beside this router.
 *
 * @param knownCount Number of peers that may be running, including those without recent messages.
 */
internal fun ServerThrottle.peerUse(
    peers: List<GossipMessage>,
    knownCount: Int,
    nowMs: Long
): PeerUse {
    val sent =
        peers.flatMap { it.rateLimits?.servers.orEmpty() }
            .groupingBy { it.start }.fold(0) { sum, server -> sum + server.sent }
    val demands =
        peers.flatMap { it.rateLimits?.demands.orEmpty() }
            .groupingBy { it.service }.fold(0) { sum, demand -> sum + demand.requests }
    val parts =
        demands.mapValues { (service, requests) ->
            budgetPart(demand.count(service, nowMs), requests, peers.size, knownCount)
        }
    return PeerUse(sent, parts, 1.0 / (maxOf(knownCount, peers.size) + 1))
}

/** A limit that ended within this time is sent to the peers as ended. */
private const val LIFTED_MS = 3_000L

/** Bound of a message, so that it fits into a datagram of a few kilobytes. */
private const val MAX_SERVERS = 64
private val RATES_PER_S = 0.0..1_000_000.0
private val AGES_MS = 0L..3_600_000L
private val COUNTS = 0..1_000_000
