package org.jacinthlink.router.peers

import org.jacinthlink.decision.configuration.KnownPeers
import org.jacinthlink.decision.retry.AttemptCounts
import org.jacinthlink.platform.store.StoreAnswer
import org.jacinthlink.platform.store.StoreClient
import org.jacinthlink.platform.store.StorePut
import org.jacinthlink.platform.store.StoreTransaction
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.DatagramSocket
import org.jacinthlink.transport.EventLoop
import org.jacinthlink.transport.datagramSocket

/** Sends gossip messages of this router to all other routers and receives theirs. */
internal class GossipExchange(
    private val loop: EventLoop,
    private val store: StoreClient,
    private val log: DecisionLog,
    private val ownAddress: Address,
    private val instance: String,
    seedHosts: List<String>,
    private val clockMs: () -> Long,
    private val compose: () -> GossipMessage,
    private val onMessage: (GossipMessage) -> Unit
) {
    private val table = PeerTable(instance)
    private lateinit var socket: DatagramSocket
    private var hostIndex = 0
    private var hasReadHosts = false

    init {
        seedHosts.filter { it != ownAddress.host }.forEach { table.addHost(it) }
    }

    /** Latest messages of the peers that are alive. */
    val alive: List<GossipMessage> get() = table.alive(clockMs())

    /** Age of the oldest message in [alive]. */
    val oldestAgeMs: Long get() = table.oldestAgeMs(clockMs())

    /** Number of peers that may be running, including those that have stopped sending messages. */
    val knownCount: Int get() = table.size

    /** What a starting router knows of its peers. */
    val known: KnownPeers
        get() = KnownPeers(
            hasReadHosts,
            table.hosts.size,
            alive.mapNotNull { it.configurationVersion }.maxOrNull()
        )

    /** Attempts of requests that the peers have reported within [windowMs]. */
    fun attempts(windowMs: Long): AttemptCounts = table.attempts(clockMs(), windowMs)

    /** True if a leader has sent a message within the last few periods. */
    val hasRecentLeader: Boolean
        get() = table
            .receivedWithin(clockMs(), maxOf(LEADER_TIMEOUT_MS, periodMs * LEADER_TIMEOUT_PERIODS))
            .any { it.dutyToken != null }

    private val periodMs: Long get() = maxOf(MIN_PERIOD_MS, table.hosts.size * PERIOD_PER_PEER_MS)

    /**
     * Opens the UDP port, registers this router in the store and starts to send messages. When the
     * store has returned from a copy, which may lack the entry, the router registers again.
     */
    fun start() {
        socket = datagramSocket(loop, ownAddress, ::onDatagram)
        store.onRestored { loop.schedule(registrationDelayMs()) { register() } }
        loop.execute {
            register()
            introduce(table.hosts)
            sendLater()
        }
    }

    /** Keeps the routers from writing to a store that has just returned all at once. */
    private fun registrationDelayMs(): Long =
        alive.count { it.instance < instance } * REGISTRATION_SPACING_MS

    private fun register() {
        val put = StorePut("$PEERS_PREFIX$instance", ownAddress.host.toByteArray())
        store.commit(StoreTransaction(puts = listOf(put))) { answer ->
            if (answer is StoreAnswer.Done) listPeers() else loop.schedule(RETRY_MS) { register() }
        }
    }

    private fun listPeers() {
        store.list(PEERS_PREFIX, null) { answer ->
            if (answer is StoreAnswer.Done) {
                val knownHosts = table.hosts
                answer.value.items.map { it.value.toString(Charsets.UTF_8) }
                    .filter { it != ownAddress.host }
                    .forEach { table.addHost(it) }
                hasReadHosts = true
                log.event("peers_read", "hosts" to table.hosts.size)
                introduce(table.hosts - knownHosts.toSet())
            } else {
                loop.schedule(RETRY_MS) { listPeers() }
            }
        }
    }

    /** Sends a message to some of the new [hosts], whose routers answer it at once. */
    private fun introduce(hosts: List<String>) = send(hosts.take(HOSTS_PER_ROUND))

    private fun sendLater() {
        val hosts = table.hosts
        val targetHosts =
            (0 until minOf(HOSTS_PER_ROUND, hosts.size)).map { hosts[nextHostIndex(hosts)] }
        // Messages to all peers at once would occupy a slow link for a long time.
        loop.schedule(periodMs * targetHosts.size.coerceAtLeast(1) / hosts.size.coerceAtLeast(1)) {
            send(targetHosts)
            sendLater()
        }
    }

    private fun nextHostIndex(hosts: List<String>): Int {
        hostIndex = (hostIndex + 1) % hosts.size
        return hostIndex
    }

    /** Sends a message to all peers at once, outside the regular period, because of an event. */
    fun send() = send(table.hosts)

    private fun send(to: List<String>) {
        table.removeExpired(clockMs()).forEach {
            log.event("peer_forgotten", "peer" to it.instance)
        }
        if (to.isEmpty()) return
        val hosts = table.hosts
        val sharedHosts =
            (0 until minOf(HOSTS_PER_MESSAGE, hosts.size))
                .map { hosts[(hostIndex + it) % hosts.size] }
        val message = compose().copy(peers = sharedHosts, readsBinary = true)
        to.groupBy { table.readsBinary(it) }.forEach { (isBinary, receivers) ->
            val bytes = GossipCodec.encode(message, isBinary)
            receivers.forEach { socket.send(Address(it, ownAddress.port), bytes) }
        }
    }

    private fun onDatagram(bytes: ByteArray) {
        val message = GossipCodec.decode(bytes)
        if (message == null) {
            log.event("news_unreadable", "bytes" to bytes.size)
            return
        }
        val isNew = table.record(message, clockMs())
        if (isNew) log.event("peer_heard", "peer" to message.instance, "host" to message.host)
        message.peers.filter { it != ownAddress.host }.forEach { table.addHost(it) }
        onMessage(message)
        // The sender may be starting, and waits for what its peers know.
        if (isNew) send(listOf(message.host))
    }

    private companion object {
        const val PEERS_PREFIX = "peers/"
        const val RETRY_MS = 700L
        const val REGISTRATION_SPACING_MS = 50L
        const val MIN_PERIOD_MS = 200L

        /** Keeps the rate of a router near 50 datagrams a second, whatever the number of peers. */
        const val PERIOD_PER_PEER_MS = 20L

        /** Number of hosts of other routers that a message contains. */
        const val HOSTS_PER_MESSAGE = 2

        /** Number of peers to which the same datagram is sent at the same time. */
        const val HOSTS_PER_ROUND = 8

        /** One or two lost datagrams do not mean that the leader has ended. */
        const val LEADER_TIMEOUT_MS = 700L
        const val LEADER_TIMEOUT_PERIODS = 3
    }
}
