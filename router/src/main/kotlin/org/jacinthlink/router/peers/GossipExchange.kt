package org.jacinthlink.router.peers

import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.decodeOrNull
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

/** Sends the news of this router to all others and hears theirs. */
internal class GossipExchange(
    private val loop: EventLoop,
    private val store: StoreClient,
    private val log: DecisionLog,
    private val own: Address,
    private val instance: String,
    seedHosts: List<String>,
    private val clockMs: () -> Long,
    private val compose: () -> GossipMessage,
    private val onNews: (GossipMessage) -> Unit
) {
    private val table = PeerTable(instance)
    private lateinit var socket: DatagramSocket
    private var turn = 0

    init {
        seedHosts.filter { it != own.host }.forEach { table.addHost(it) }
    }

    /** News of the peers that are alive. */
    val alive: List<GossipMessage> get() = table.alive(clockMs())

    /** Number of peers that may be at work, heard or not. */
    val knownCount: Int get() = table.size

    /** Sends that the peers have told of within [windowMs]. */
    fun sends(windowMs: Long): AttemptCounts = table.sends(clockMs(), windowMs)

    /** True if a holder of the duty has been heard in the last few periods. */
    val holderIsHeard: Boolean
        get() = table.heardWithin(clockMs(), maxOf(HOLDER_SILENCE_MS, periodMs * HOLDER_PERIODS))
            .any { it.dutyToken != null }

    private val periodMs: Long get() = maxOf(MIN_PERIOD_MS, table.hosts.size * PERIOD_PER_PEER_MS)

    /** Opens the port, registers this router and begins to send. */
    fun start() {
        socket = datagramSocket(loop, own, ::received)
        loop.execute {
            register()
            sendLater()
        }
    }

    private fun register() {
        val put = StorePut("$PEERS_PREFIX$instance", own.host.toByteArray())
        store.commit(StoreTransaction(puts = listOf(put))) { answer ->
            if (answer is StoreAnswer.Done) list() else loop.schedule(RETRY_MS) { register() }
        }
    }

    private fun list() {
        store.list(PEERS_PREFIX, null) { answer ->
            if (answer is StoreAnswer.Done) {
                answer.value.items.map { it.value.toString(Charsets.UTF_8) }
                    .filter { it != own.host }
                    .forEach { table.addHost(it) }
                log.event("peers_read", "hosts" to table.hosts.size)
            } else {
                loop.schedule(RETRY_MS) { list() }
            }
        }
    }

    private fun sendLater() {
        val hosts = table.hosts
        val someHosts = (0 until minOf(SENT_TOGETHER, hosts.size)).map { hosts[nextTurn(hosts)] }
        // A thin link would be busy for long with the news to all peers at once.
        loop.schedule(periodMs * someHosts.size.coerceAtLeast(1) / hosts.size.coerceAtLeast(1)) {
            send(someHosts)
            sendLater()
        }
    }

    private fun nextTurn(hosts: List<String>): Int {
        turn = (turn + 1) % hosts.size
        return turn
    }

    /** Sends the news to all peers, between the periods, because something has happened. */
    fun send() = send(table.hosts)

    private fun send(to: List<String>) {
        table.forget(clockMs()).forEach { log.event("peer_forgotten", "peer" to it.instance) }
        if (to.isEmpty()) return
        val hosts = table.hosts
        val some = (0 until minOf(SHARED_HOSTS, hosts.size)).map { hosts[(turn + it) % hosts.size] }
        val bytes =
            ProtocolJson.encodeToString(GossipMessage.serializer(), compose().copy(peers = some))
                .toByteArray()
        to.forEach { socket.send(Address(it, own.port), bytes) }
    }

    private fun received(bytes: ByteArray) {
        val text = bytes.toString(Charsets.UTF_8)
        val news = ProtocolJson.decodeOrNull(GossipMessage.serializer(), text)
        if (news == null) {
            log.event("news_unreadable", "bytes" to bytes.size)
            return
        }
        val isNew = table.hear(news, clockMs())
        if (isNew) log.event("peer_heard", "peer" to news.instance, "host" to news.host)
        news.peers.filter { it != own.host }.forEach { table.addHost(it) }
        onNews(news)
    }

    private companion object {
        const val PEERS_PREFIX = "peers/"
        const val RETRY_MS = 700L
        const val MIN_PERIOD_MS = 200L

        /** Keeps the datagrams of a router near 50 a second, however many peers there are. */
        const val PERIOD_PER_PEER_MS = 20L
        const val SHARED_HOSTS = 2

        /** Peers that get the same datagram at the same time. */
        const val SENT_TOGETHER = 8

        /** A lost datagram or two are no sign of a holder's end. */
        const val HOLDER_SILENCE_MS = 700L
        const val HOLDER_PERIODS = 3
    }
}
