package org.jacinthlink.router

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.LayerChange
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.decision.layout.Placement
import org.jacinthlink.decision.retry.SharedRetryBudget
import org.jacinthlink.router.state.ConfigurationCache
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.router.layout.LeadershipLease
import org.jacinthlink.router.layout.LayoutController
import org.jacinthlink.router.peers.LayerChangeNews
import org.jacinthlink.router.peers.LayerNews
import org.jacinthlink.router.peers.LayerTarget
import org.jacinthlink.router.peers.PathShare
import org.jacinthlink.router.peers.GossipMessage
import org.jacinthlink.router.relay.FailureDetector
import org.jacinthlink.router.relay.SlowServerDetector
import org.jacinthlink.router.relay.PathTable
import org.jacinthlink.router.relay.StreamTable

/** Who a router is for its peers. */
internal class RouterIdentity(val instance: String, val host: String, val startedAtMs: Long)

/** What a router believes and shares with its peers. */
internal class RouterState(
    val configuration: ConfigurationCache,
    val servers: ServerRegistry,
    val faults: FailureDetector,
    val slowServers: SlowServerDetector,
    val paths: PathTable,
    val streams: StreamTable
)

/** Composes the news of a router from its beliefs, and takes the news of others into them. */
internal class RouterGossip(
    private val identity: RouterIdentity,
    private val state: RouterState,
    private val ledger: SharedRetryBudget,
    private val lease: LeadershipLease,
    private val duty: LayoutController,
    private val isDraining: () -> Boolean,
    private val storeAgeMs: () -> Long?,
    private val clockMs: () -> Long
) {
    /** The news of this router. */
    fun compose(): GossipMessage {
        val nowMs = clockMs()
        val sends = ledger.counts(nowMs)
        val faults = state.faults
        return GossipMessage(
            instance = identity.instance,
            host = identity.host,
            startedAtMs = identity.startedAtMs,
            isDraining = isDraining(),
            dutyToken = lease.fencingToken,
            configurationVersion = state.configuration.current?.version,
            storeAgeMs = storeAgeMs(),
            failed = faults.unavailable.toList(),
            leaving = faults.unavailable.filter { faults.isDraining(it) },
            slow = state.slowServers.detected.toList(),
            loads = state.paths.ownLoad.map { (id, load) ->
                PathShare(id.home, id.first, load.tokens, load.streams)
            },
            firstSends = sends.first,
            repeats = sends.repeats,
            layers = layerNews(nowMs),
            targets = duty.targets.map {
                LayerTarget(it.instanceId, it.layers.from, it.layers.to, it.group)
            },
            changes = duty.changes.map { (id, change) -> change.toNews(id) }
        )
    }

    /** Takes [news] of a peer. */
    fun apply(news: GossipMessage) {
        val nowMs = clockMs()
        news.layers.forEach {
            val layers = LayerRange(it.from, it.to).takeIf { range -> range.size > 0 }
            state.servers.hearLayers(it.instanceId, it.bornAtMs, layers, nowMs - it.ageMs)
        }
        if (news.dutyToken != null && lease.fencingToken == null) followHolder(news)
        news.failed.filter { !state.faults.isFailed(it) }.forEach { address ->
            state.servers.at(address)?.let { checkReported(it, news) }
        }
    }

    private fun followHolder(news: GossipMessage) {
        duty.follow(
            news.targets.map { Placement(it.instanceId, LayerRange(it.from, it.to), it.group) }
        )
        state.servers.noteChanges(news.changes.associate { it.instanceId to it.toChange() })
    }

    private fun checkReported(server: BackendServer, news: GossipMessage) {
        val cause = "reported by ${news.instance}"
        when {
            server.address in news.leaving -> state.faults.checkHealth(server, cause)
            state.streams.areStreamsStalled(server.address, clockMs()) ->
                state.faults.confirmSuspicion(server, cause)
            else -> state.faults.check(server, cause, isReportedByPeer = true)
        }
    }

    private fun layerNews(nowMs: Long): List<LayerNews> =
        state.servers.changedSince(nowMs - LAYER_NEWS_MS).map { (server, atMs) ->
            LayerNews(
                server.instanceId,
                server.bornAtMs,
                nowMs - atMs,
                server.layers?.from ?: 0,
                server.layers?.to ?: 0
            )
        }

    private fun LayerChange.toNews(instanceId: String) =
        LayerChangeNews(instanceId, weightLayers, kept?.from, kept?.to)

    private fun LayerChangeNews.toChange() =
        LayerChange(from?.let { LayerRange(it, to ?: it) }, weightLayers)

    private companion object {
        /** Layers that were found changed within this time are told to the peers. */
        const val LAYER_NEWS_MS = 3_000L
    }
}
