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
import org.jacinthlink.router.peers.LayerTarget
import org.jacinthlink.router.peers.ObservedLayers
import org.jacinthlink.router.peers.OrderedLayerChange
import org.jacinthlink.router.peers.PathShare
import org.jacinthlink.router.peers.PeerNews
import org.jacinthlink.router.relay.FaultWatch
import org.jacinthlink.router.relay.PaceWatch
import org.jacinthlink.router.relay.PathBook
import org.jacinthlink.router.relay.StreamBook

/** Identity of a router in its gossip messages. */
internal class RouterIdentity(val instance: String, val host: String, val startedAtMs: Long)

/** Local state of a router that it shares with its peers. */
internal class RouterBeliefs(
    val configuration: ConfigurationBelief,
    val servers: ServerDirectory,
    val faults: FaultWatch,
    val paces: PaceWatch,
    val paths: PathBook,
    val streams: StreamBook
)

/** Composes gossip messages from the local state, and applies the messages of peers to it. */
internal class RouterNews(
    private val identity: RouterIdentity,
    private val beliefs: RouterBeliefs,
    private val ledger: SharedRetryBudget,
    private val lease: DutyLease,
    private val layoutLeader: LayoutDuty,
    private val isDraining: () -> Boolean,
    private val storeAgeMs: () -> Long?,
    private val clockMs: () -> Long
) {
    /** Current gossip message of this router. */
    fun compose(): PeerNews {
        val nowMs = clockMs()
        val attempts = ledger.counts(nowMs)
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
            firstSends = attempts.first,
            repeats = attempts.repeats,
            layers = observedLayers(nowMs),
            targets = layoutLeader.targets.map {
                LayerTarget(it.instanceId, it.layers.from, it.layers.to, it.group)
            },
            changes = layoutLeader.changes.map { (id, change) -> change.toOrderedChange(id) }
        )
    }

    /** Applies [message] of a peer to the local state. */
    fun apply(message: PeerNews) {
        val nowMs = clockMs()
        message.layers.forEach {
            val layers = LayerRange(it.from, it.to).takeIf { range -> range.size > 0 }
            beliefs.servers.recordGossipedLayers(
                it.instanceId,
                it.bornAtMs,
                layers,
                nowMs - it.ageMs
            )
        }
        if (message.dutyToken != null && lease.fencingToken == null) followLeader(message)
        message.failed.filter { !beliefs.faults.isFailed(it) }.forEach { address ->
            beliefs.servers.at(address)?.let { checkReported(it, message) }
        }
    }

    private fun followLeader(message: PeerNews) {
        layoutLeader.adoptTargets(
            message.targets.map { Placement(it.instanceId, LayerRange(it.from, it.to), it.group) }
        )
        beliefs.servers.replaceOrderedChanges(
            message.changes.associate { it.instanceId to it.toChange() }
        )
    }

    private fun checkReported(server: BackendServer, message: PeerNews) {
        val cause = "reported by ${message.instance}"
        when {
            server.address in message.leaving -> beliefs.faults.checkHealth(server, cause)
            beliefs.streams.isQuiet(server.address, clockMs()) ->
                beliefs.faults.believeSilent(server, cause)
            else -> beliefs.faults.check(server, cause, isReported = true)
        }
    }

    private fun observedLayers(nowMs: Long): List<ObservedLayers> =
        beliefs.servers.changedSince(nowMs - OBSERVED_LAYERS_MS).map { (server, atMs) ->
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
    }
}
