@file:OptIn(ExperimentalSerializationApi::class)

package org.jacinthlink.router.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import org.jacinthlink.decision.limits.PeerWorkspaceUse
import org.jacinthlink.decision.limits.RouterStart
import org.jacinthlink.decision.limits.WorkspaceQuotas
import org.jacinthlink.decision.limits.WorkspaceUse

/**
 * Use of a workspace's quota at the sender.
 *
 * @property arrivals Requests of the workspace within the last seconds, also refused ones.
 * @property admitted Requests that the sender has admitted since [countedFromMs].
 * @property countedFromMs Time of the sender's monotonic clock; another value means a new count.
 */
@Serializable
internal data class WorkspaceDemand(
    @ProtoNumber(1) val workspace: String,
    @ProtoNumber(2) val arrivals: Int,
    @ProtoNumber(3) val admitted: Long = 0,
    @ProtoNumber(4) val countedFromMs: Long = 0
) {
    internal fun isValid(): Boolean =
        workspace.isNotBlank() && arrivals in ARRIVALS && admitted in ADMITTED
}

/** True if the counts and the number of [demands] are within their ranges. */
internal fun areValid(demands: List<WorkspaceDemand>): Boolean =
    demands.size <= MAX_WORKSPACES && demands.all { it.isValid() }

/** What the peers are to know of the quotas; empty if no workspace with a quota has requests. */
internal fun WorkspaceQuotas.toGossip(nowMs: Long): List<WorkspaceDemand> =
    uses(nowMs).filter { it.workspace.isNotBlank() }.take(MAX_WORKSPACES).map {
        WorkspaceDemand(
            it.workspace,
            it.arrivals.coerceAtMost(ARRIVALS.last),
            it.admitted,
            it.countedFromMs
        )
    }

/**
 * Use of the quotas by the routers behind the latest messages [peers].
 *
 * @param knownCount Number of peers that may be running, including those without recent messages.
 */
internal fun workspaceUse(peers: List<GossipMessage>, knownCount: Int): PeerWorkspaceUse =
    PeerWorkspaceUse(
        peers.associate { peer ->
            RouterStart(peer.instance, peer.startedAtMs) to peer.workspaceDemands.map {
                WorkspaceUse(it.workspace, it.arrivals, it.admitted, it.countedFromMs)
            }
        },
        knownCount
    )

/** Bound of a message, so that it fits into a datagram of a few kilobytes. */
private const val MAX_WORKSPACES = 128
private val ARRIVALS = 0..1_000_000
private val ADMITTED = 0L..1_000_000_000_000L
