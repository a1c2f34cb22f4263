package org.jacinthlink.router

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.LayerChange
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.decision.layout.Placement
import org.jacinthlink.decision.retry.SharedRetryBudget
import org.jacinthlink.router.beliefs.ConfigurationBelief
import org.jacinthlink.router.beliefs.ServerDirectory
import org.jacinthlink.router.layout.DutyLease
import org.jacinthlink.router.layout.LayoutDuty
import org.jacinthlink.router.peers.LayerChangeNews
import org.jacinthlink.router.peers.LayerNews
import org.jacinthlink.router.peers.LayerTarget
import org.jacinthlink.router.peers.PathShare
import org.jacinthlink.router.peers.PeerNews
import org.jacinthlink.router.relay.FaultWatch
import org.jacinthlink.router.relay.PaceWatch
import org.jacinthlink.router.relay.PathBook
import org.jacinthlink.router.relay.StreamBook

/** Who a router is for its peers. */
internal class RouterIdentity(val instance: String, val host: String, val startedAtMs: Long)

/** What a router believes and shares with its peers. */
internal class RouterBeliefs(
    val configuration: ConfigurationBelief,
    val servers: ServerDirectory,
    val faults: FaultWatch,
    val paces: PaceWatch,
    val paths: PathBook,
    val streams: StreamBook
)

/** Composes the news of a router from its beliefs, and takes the news of others into them. */
internal class RouterNews(
    private val identity: RouterIdentity,
    private val beliefs: RouterBeliefs,
    private val ledger: SharedRetryBudget,
    private val lease: DutyLease,
    private val duty: LayoutDuty,
    private val isDraining: () -> Boolean,
    private val storeAgeMs: () -> Long?,
    private val clockMs: () -> Long
) {
    /** The news of this router. */
    fun compose(): PeerNews {
        val nowMs = clockMs()
        val sends = ledger.counts(nowMs)
        val faults = beliefs.faults
        return PeerNews(
            instance = identity.instance,
            host = identity.host,
            startedAtMs = identity.startedAtMs,
            isDraining = isDraining(),
            dutyToken = lease.fencingToken,
            configurationVersion = beliefs.configuration.current?.version,
            storeAgeMs = storeAgeMs(),
            failed = faults.lost.toList(),
            leaving = faults.lost.filter { faults.isLeaving(it) },
            slow = beliefs.paces.own.toList(),
            loads = beliefs.paths.ownLoad.map { (id, load) ->
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
    fun apply(news: PeerNews) {
        val nowMs = clockMs()
        news.layers.forEach {
            val layers = LayerRange(it.from, it.to).takeIf { range -> range.size > 0 }
            beliefs.servers.hearLayers(it.instanceId, it.bornAtMs, layers, nowMs - it.ageMs)
        }
        if (news.dutyToken != null && lease.fencingToken == null) followHolder(news)
        news.failed.filter { !beliefs.faults.isFailed(it) }.forEach { address ->
            beliefs.servers.at(address)?.let { checkReported(it, news) }
        }
    }

    private fun followHolder(news: PeerNews) {
        duty.follow(
            news.targets.map { Placement(it.instanceId, LayerRange(it.from, it.to), it.group) }
        )
        beliefs.servers.noteChanges(news.changes.associate { it.instanceId to it.toChange() })
    }

    private fun checkReported(server: BackendServer, news: PeerNews) {
        val cause = "reported by ${news.instance}"
        when {
            server.address in news.leaving -> beliefs.faults.checkHealth(server, cause)
            beliefs.streams.isQuiet(server.address, clockMs()) ->
                beliefs.faults.believeSilent(server, cause)
            else -> beliefs.faults.check(server, cause, isReported = true)
        }
    }

    private fun layerNews(nowMs: Long): List<LayerNews> =
        beliefs.servers.changedSince(nowMs - LAYER_NEWS_MS).map { (server, atMs) ->
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
