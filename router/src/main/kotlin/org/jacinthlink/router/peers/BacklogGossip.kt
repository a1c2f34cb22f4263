@file:OptIn(ExperimentalSerializationApi::class)

package org.jacinthlink.router.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import org.jacinthlink.decision.admission.PeerLoad
import org.jacinthlink.decision.admission.RankLoad

/**
 * Requests for [service] that arrive, wait and start at the sender.
 *
 * @property startedTokensPerS Tokens of the requests that start, a second.
 */
@Serializable
internal data class ServiceBacklog(
    @ProtoNumber(1) val service: String,
    @ProtoNumber(2) val startedTokensPerS: Long = 0,
    @ProtoNumber(3) val ranks: List<RankBacklog> = emptyList()
) {
    internal fun isValid(): Boolean =
        startedTokensPerS in BACKLOG_TOKENS &&
            ranks.size <= PRIORITIES.count() &&
            ranks.all { it.isValid() }
}

/**
 * Requests of rank [priority].
 *
 * @property onTimeTokens Tokens of the waiting requests that can still be on time.
 * @property otherTokens Tokens of the other waiting requests.
 * @property arrivingTokensPerS Tokens of the requests that arrive, a second.
 */
@Serializable
internal data class RankBacklog(
    @ProtoNumber(1) val priority: Int,
    @ProtoNumber(2) val onTimeTokens: Long = 0,
    @ProtoNumber(3) val otherTokens: Long = 0,
    @ProtoNumber(4) val arrivingTokensPerS: Long = 0
) {
    internal fun isValid(): Boolean =
        priority in PRIORITIES &&
            onTimeTokens in BACKLOG_TOKENS &&
            otherTokens in BACKLOG_TOKENS &&
            arrivingTokensPerS in BACKLOG_TOKENS

    internal fun toLoad() = RankLoad(onTimeTokens, otherTokens, arrivingTokensPerS / MS_PER_S)
}

/** This load as an entry of a gossip message. */
internal fun RankLoad.toGossip(priority: Int) =
    RankBacklog(
        priority,
        onTimeTokens.coerceAtMost(BACKLOG_TOKENS.last),
        otherTokens.coerceAtMost(BACKLOG_TOKENS.last),
        (arrivingTokensPerMs * MS_PER_S).toLong().coerceAtMost(BACKLOG_TOKENS.last)
    )

/** Sum of the requests that [peers] have reported, by service. */
internal fun sumOfBacklogs(peers: List<GossipMessage>): Map<String, PeerLoad> =
    peers.flatMap { it.backlogs }.groupBy { it.service }.mapValues { (_, backlogs) ->
        val ranks =
            backlogs.flatMap { it.ranks }
                .groupingBy { it.priority }
                .fold(RankLoad()) { sum, rank -> sum + rank.toLoad() }
        PeerLoad(ranks, backlogs.sumOf { it.startedTokensPerS } / MS_PER_S)
    }

private const val MS_PER_S = 1_000.0
private val PRIORITIES = 0..9
private val BACKLOG_TOKENS = 0L..1_000_000_000L
