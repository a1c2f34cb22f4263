package org.jacinthlink.router

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.LayerChange
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.decision.fleet.ServerStart
import org.jacinthlink.decision.layout.Placement
import org.jacinthlink.decision.limits.WorkspaceQuotas
import org.jacinthlink.decision.quarantine.ContentQuarantine
import org.jacinthlink.decision.retry.SharedRetryBudget
import org.jacinthlink.router.layout.LayoutController
import org.jacinthlink.router.layout.LeadershipLease
import org.jacinthlink.router.peers.DrainingServer
import org.jacinthlink.router.peers.GossipMessage
import org.jacinthlink.router.peers.LayerTarget
import org.jacinthlink.router.peers.LimitedServer
import org.jacinthlink.router.peers.ObservedLayers
import org.jacinthlink.router.peers.OrderedLayerChange
import org.jacinthlink.router.peers.PathShare
import org.jacinthlink.router.peers.apply
import org.jacinthlink.router.peers.toGossip
import org.jacinthlink.router.peers.toNotice
import org.jacinthlink.router.relay.FailureDetector
import org.jacinthlink.router.relay.PathTable
import org.jacinthlink.router.relay.ProbeReason
import org.jacinthlink.router.relay.RequestAdmission
import org.jacinthlink.router.relay.ServerNotices
import org.jacinthlink.router.relay.SlowServerDetector
import org.jacinthlink.router.relay.StreamTable
import org.jacinthlink.router.state.ConfigurationCache
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.router.state.StoreWatches

/** Identity of a router in its gossip messages. */
internal class RouterIdentity(val instance: String, val host: String, val startedAtMs: Long)

/** Local state of a router that it shares with its peers. */
internal class RouterState(
    val configuration: ConfigurationCache,
    val servers: ServerRegistry,
    val failureDetector: FailureDetector,
    val slowServers: SlowServerDetector,
    val paths: PathTable,
    val streams: StreamTable,
    val quarantine: ContentQuarantine,
    val notices: ServerNotices,
    val admission: RequestAdmission,
    val quotas: WorkspaceQuotas
)

/** Composes gossip messages from the local state, and applies the messages of peers to it. */
internal class RouterGossip(
    private val identity: RouterIdentity,
    private val state: RouterState,
    private val retryBudget: SharedRetryBudget,
    private val lease: LeadershipLease,
    private val layoutController: LayoutController,
    private val isDraining: () -> Boolean,
    private val isServing: () -> Boolean,
    private val watches: StoreWatches,
    private val clockMs: () -> Long
) {
    /** Current gossip message of this router. */
    fun compose(): GossipMessage {
        val nowMs = clockMs()
        val attempts = retryBudget.counts(nowMs)
        val failureDetector = state.failureDetector
        return GossipMessage(
            instance = identity.instance,
            host = identity.host,
            startedAtMs = identity.startedAtMs,
            isDraining = isDraining(),
            dutyToken = lease.fencingToken,
            configurationVersion = state.configuration.current?.version.takeIf { isServing() },
            storeAgeMs = watches.ageMs(nowMs),
            operatorRevision = watches.operatorRevision,
            serversRevision = watches.serversRevision,
            storeEra = watches.era,
            failed = failureDetector.unavailable.toList(),
            leaving = failureDetector.unavailable.filter { failureDetector.isDraining(it) },
            draining = state.servers.drainingSince(nowMs - DRAINING_MS).map {
                DrainingServer(it.instanceId, it.bornAtMs)
            },
            slow = state.slowServers.detected.toList(),
            loads = state.paths.ownLoad.map { (id, load) ->
                PathShare(id.home, id.first, load.tokens, load.streams)
            },
            firstSends = attempts.first,
            repeats = attempts.repeats,
            layers = observedLayers(nowMs),
            targets = layoutController.targets.map {
                LayerTarget(it.instanceId, it.layers.from, it.layers.to, it.group)
            },
            changes = layoutController.changes.map { (id, change) -> change.toOrderedChange(id) },
            quarantine = state.quarantine.toGossip(nowMs),
            rateLimits = state.notices.throttle.toGossip(state.servers, nowMs),
            backlogs = state.admission.backlogs,
            plainLoads = state.admission.loadBalancer.loads.toGossip(),
            workspaceDemands = state.quotas.toGossip(nowMs)
        )
    }

    /** Applies [message] of a peer to the local state. */
    fun apply(message: GossipMessage) {
        val nowMs = clockMs()
        message.layers.forEach {
            val layers = LayerRange(it.from, it.to).takeIf { range -> range.size > 0 }
            state.servers.recordGossipedLayers(
                it.instanceId,
                it.bornAtMs,
                layers,
                nowMs - it.ageMs
            )
        }
        message.draining.forEach {
            state.servers.recordDraining(ServerStart(it.instanceId, it.bornAtMs), message.instance)
        }
        message.quarantine?.let { state.quarantine.apply(it, nowMs) }
        message.rateLimits?.servers.orEmpty().forEach { recordRateLimit(it, message.instance) }
        if (message.dutyToken != null && lease.fencingToken == null) followLeader(message)
        message.failed.filter { !state.failureDetector.isFailed(it) }.forEach { address ->
            state.servers.at(address)?.let { checkReportedFailure(it, message) }
        }
    }

    private fun recordRateLimit(limited: LimitedServer, peer: String) {
        val server = state.servers.byId(limited.instanceId)?.takeIf { it.start == limited.start }
        if (server != null) {
            state.notices.recordRateLimit(server, limited.toNotice(clockMs()), peer)
        }
    }

    private fun followLeader(message: GossipMessage) {
        layoutController.adoptTargets(
            message.targets.map { Placement(it.instanceId, LayerRange(it.from, it.to), it.group) }
        )
        state.servers.replaceOrderedChanges(
            message.changes.associate { it.instanceId to it.toChange() }
        )
    }

    private fun checkReportedFailure(server: BackendServer, message: GossipMessage) {
        val cause = "reported by ${message.instance}"
        val unresponsive = state.failureDetector.unresponsive
        when {
            server.address in message.leaving -> state.failureDetector.checkHealth(server, cause)
            state.streams.areStreamsStalled(server.address, unresponsive, clockMs()) ->
                state.failureDetector.excludeSuspected(server, cause)
            else -> state.failureDetector.check(server, cause, ProbeReason.REPORTED)
        }
    }

    private fun observedLayers(nowMs: Long): List<ObservedLayers> =
        state.servers.changedSince(nowMs - OBSERVED_LAYERS_MS).map { (server, atMs) ->
            ObservedLayers(
                server.instanceId,
                server.bornAtMs,
                nowMs - atMs,
                server.layers?.from ?: 0,
                server.layers?.to ?: 0
            )
        }

    private fun LayerChange.toOrderedChange(instanceId: String) =
        OrderedLayerChange(instanceId, weightLayers, kept?.from, kept?.to)

    private fun OrderedLayerChange.toChange() =
        LayerChange(from?.let { LayerRange(it, to ?: it) }, weightLayers)

    private companion object {
        /** Layer changes observed within this time are sent to the peers. */
        const val OBSERVED_LAYERS_MS = 3_000L

        /**
         * Announcements of draining servers recorded within this time are sent to the peers. Each
         * peer repeats them once, so that they also reach routers that cannot hear the first one.
         */
        const val DRAINING_MS = 3_000L
    }
}
