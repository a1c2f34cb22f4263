package org.jacinthlink.router.state

import org.jacinthlink.decision.watch.StorePosition
import org.jacinthlink.decision.watch.WatchingPeer
import org.jacinthlink.decision.watch.renewsOften
import org.jacinthlink.platform.fleet.OPERATOR_PREFIX
import org.jacinthlink.platform.fleet.SERVERS_PREFIX
import org.jacinthlink.platform.store.StoreClient
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.peers.GossipMessage
import org.jacinthlink.transport.EventLoop

/**
 * The watches of a router on the store: of the operators' prefix and of the servers.
 *
 * @param instance Name of this router.
 * @param shortWaitMs Waiting time of the calls of routers that renew their watches often.
 */
internal class StoreWatches(
    private val instance: String,
    private val operator: PrefixWatcher<*>,
    private val servers: PrefixWatcher<*>,
    private val shortWaitMs: () -> Long
) {
    /** Revision of the newest change of the operators' prefix that is known here, or 0. */
    val operatorRevision: Long get() = operator.changeRevision

    /** Revision of the newest change of the servers that is known here, or 0. */
    val serversRevision: Long get() = servers.changeRevision

    /** Newest era of the store that is known here, or 0. */
    val era: Long get() = operator.era

    /** Starts both watches. */
    fun start() {
        operator.start()
        servers.start()
    }

    /** Time since the store last confirmed what is known of both prefixes; null before that. */
    fun ageMs(nowMs: Long): Long? {
        val operatorAtMs = operator.confirmedAtMs ?: return null
        val serversAtMs = servers.confirmedAtMs ?: return null
        return nowMs - minOf(operatorAtMs, serversAtMs)
    }

    /** Renews the watches that no longer seem to be answered; called periodically. */
    fun tick(alive: List<GossipMessage>, nowMs: Long) {
        val peers = alive.map { WatchingPeer(it.instance, it.storeAgeMs, it.isDraining) }
        val isFrequent = renewsOften(instance, peers, FRESH_WAITS * shortWaitMs())
        val waitMs = if (isFrequent) shortWaitMs() else PrefixWatcher.MAX_WAIT_MS
        operator.tick(nowMs, waitMs, alive.newest { it.operatorRevision })
        servers.tick(nowMs, waitMs, alive.newest { it.serversRevision })
    }

    private fun List<GossipMessage>.newest(revision: (GossipMessage) -> Long): StorePosition =
        maxOfOrNull { StorePosition(it.storeEra, revision(it)) } ?: StorePosition.START

    private companion object {
        /** A router that has missed one renewal in between no longer reads the store for others. */
        const val FRESH_WAITS = 2
    }
}

/** Receivers of the items under the operators' prefix and of the entries of the servers. */
internal class StoreListeners(val operator: PrefixListener<*>, val servers: PrefixListener<*>)

/**
 * Watches of the router [instance] on [store], whose items [listeners] receive.
 *
 * @param shortWaitMs Waiting time of the calls of routers that renew their watches often.
 */
internal fun storeWatches(
    loop: EventLoop,
    store: StoreClient,
    log: DecisionLog,
    instance: String,
    listeners: StoreListeners,
    clockMs: () -> Long,
    shortWaitMs: () -> Long
): StoreWatches {
    fun <T : Any> watch(prefix: String, pauseMs: Long, listener: PrefixListener<T>) =
        PrefixWatcher(loop, store, log, prefix, pauseMs, shortWaitMs(), clockMs, listener)
    return StoreWatches(
        instance,
        watch(OPERATOR_PREFIX, OPERATOR_PAUSE_MS, listeners.operator),
        watch(SERVERS_PREFIX, SERVERS_PAUSE_MS, listeners.servers),
        shortWaitMs
    )
}

/** Changes of the configuration take effect within 2 s. */
private const val OPERATOR_PAUSE_MS = 200L

/** Many servers register within a few seconds; each pause saves calls to the store. */
private const val SERVERS_PAUSE_MS = 400L
