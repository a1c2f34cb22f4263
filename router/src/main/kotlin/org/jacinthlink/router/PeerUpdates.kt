package org.jacinthlink.router

import org.jacinthlink.decision.limits.WorkspaceQuotas
import org.jacinthlink.decision.retry.SharedRetryBudget
import org.jacinthlink.decision.retry.budgetPart
import org.jacinthlink.router.layout.LeaderElection
import org.jacinthlink.router.layout.LeadershipLease
import org.jacinthlink.router.peers.GossipExchange
import org.jacinthlink.router.peers.SnapshotFetcher
import org.jacinthlink.router.peers.peerUse
import org.jacinthlink.router.peers.sumOfBacklogs
import org.jacinthlink.router.peers.sumOfLoads
import org.jacinthlink.router.peers.sumOfPlainLoads
import org.jacinthlink.router.peers.workspaceUse
import org.jacinthlink.router.relay.PathTable
import org.jacinthlink.router.relay.PeerBacklogs
import org.jacinthlink.router.relay.RequestAdmission
import org.jacinthlink.router.relay.ServerThrottle
import org.jacinthlink.router.relay.SlowServerDetector
import org.jacinthlink.router.relay.StreamTable

/** Parts of a router that depend on what its peers have sent. */
internal class PeerDependents(
    val election: LeaderElection,
    val lease: LeadershipLease,
    val snapshotFetcher: SnapshotFetcher,
    val paths: PathTable,
    val slowServers: SlowServerDetector,
    val retryBudget: SharedRetryBudget,
    val streams: StreamTable,
    val throttle: ServerThrottle,
    val admission: RequestAdmission,
    val quotas: WorkspaceQuotas
)

/**
 * Brings the parts of a router that depend on its peers up to date, from the latest messages.
 *
 * @param storeWaitMs Longest wait of one call to the store.
 */
internal class PeerUpdates(
    private val peers: GossipExchange,
    private val dependents: PeerDependents,
    private val retryWindowMs: () -> Long,
    private val storeWaitMs: Long
) {
    /** Updates all parts; called periodically. */
    fun tick(isDraining: Boolean, storeAgeMs: Long?, nowMs: Long) {
        val alive = peers.alive
        if (!isDraining) tryLeadership(nowMs)
        dependents.snapshotFetcher.tick(alive, storeAgeMs, storeWaitMs)
        dependents.paths.updateFromPeers(sumOfLoads(alive))
        dependents.slowServers.updateFromPeers(alive.flatMap { it.slow }.toSet())
        updateRetryBudget(nowMs)
        dependents.admission.updatePeers(
            PeerBacklogs(sumOfBacklogs(alive), alive.size, peers.knownCount, peers.oldestAgeMs),
            sumOfPlainLoads(alive)
        )
        with(dependents.throttle) {
            limits.updatePeers(peerUse(alive, peers.knownCount, nowMs), nowMs)
        }
        dependents.quotas.updatePeers(workspaceUse(alive, peers.knownCount), nowMs)
    }

    private fun tryLeadership(nowMs: Long) {
        val leaderIsKnown = dependents.lease.fencingToken != null || peers.hasRecentLeader
        val others = peers.alive.filter { !it.isDraining }.map { it.instance }
        if (dependents.election.shouldTry(nowMs, leaderIsKnown, others)) {
            dependents.lease.tryAcquire()
        }
    }

    private fun updateRetryBudget(nowMs: Long) {
        val alive = peers.alive
        val peerStreams = alive.sumOf { peer -> peer.loads.sumOf { it.streams } }
        dependents.retryBudget.updatePeerCounts(
            peers.attempts(retryWindowMs()),
            peers.knownCount,
            nowMs,
            budgetPart(dependents.streams.size, peerStreams, alive.size, peers.knownCount)
        )
    }
}
