package org.jacinthlink.router.peers

import org.jacinthlink.decision.watch.growingPatience
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.state.ConfigurationCache
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.BufferedCall
import org.jacinthlink.transport.BufferedResult
import org.jacinthlink.transport.ClientRequest
import org.jacinthlink.transport.ConnectionUse
import org.jacinthlink.transport.EventLoop
import org.jacinthlink.transport.HeaderField
import org.jacinthlink.transport.HttpClient

/**
 * Fetches state from peers: a newer configuration at any time, and the servers while this router
 * cannot read the store itself. A snapshot does not name its request, so each one has a connection
 * of its own.
 */
internal class SnapshotFetcher(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val peerPort: Int,
    private val configuration: ConfigurationCache,
    private val servers: ServerRegistry,
    private val log: DecisionLog
) {
    private val patience = growingPatience(INITIAL_TIMEOUT_MS, MAX_TIMEOUT_MS)
    private var isFetching = false
    private var nextIndex = 0

    /**
     * Fetches a snapshot from a peer with a newer configuration or, if the store is unreachable,
     * from a peer that has read the store more recently. After each attempt that has failed,
     * another peer is asked and given more time.
     *
     * @param ownStoreAgeMs Time since the store last answered this router, or null if it never did.
     * @param waitMs Longest wait of one call to the store.
     */
    fun tick(peers: List<GossipMessage>, ownStoreAgeMs: Long?, waitMs: Long) {
        if (isFetching) return
        val ownVersion = configuration.current?.version ?: NO_VERSION
        val isStoreUnreachable = ownStoreAgeMs == null || ownStoreAgeMs > waitMs + UNREACHABLE_MS
        val peerWithNewerConfiguration =
            peers.filter { it.version() > ownVersion }
                .sortedByDescending { it.version() }
                .let { if (it.isEmpty()) null else it[patience.givenUpCount % it.size] }
        when {
            peerWithNewerConfiguration != null ->
                fetch(peerWithNewerConfiguration, isStoreUnreachable)
            isStoreUnreachable -> peerWithNewerData(peers, ownStoreAgeMs)?.let {
                fetch(it, takesServers = true)
            }
        }
    }

    /** A peer that the store has answered more recently than this router, chosen round-robin. */
    private fun peerWithNewerData(
        peers: List<GossipMessage>,
        ownStoreAgeMs: Long?
    ): GossipMessage? {
        val ownAgeMs = ownStoreAgeMs ?: Long.MAX_VALUE
        val candidates = peers.filter { (it.storeAgeMs ?: Long.MAX_VALUE) < ownAgeMs }
        return if (candidates.isEmpty()) null else candidates[nextIndex++ % candidates.size]
    }

    private fun GossipMessage.version(): Long = configurationVersion ?: NO_VERSION

    private fun fetch(peer: GossipMessage, takesServers: Boolean) {
        isFetching = true
        val address = Address(peer.host, peerPort)
        val headers = listOf(HeaderField("Host", address.toString()))
        val request =
            ClientRequest(
                address,
                "GET",
                "/snapshot",
                headers,
                ByteArray(0),
                connectTimeoutMs = CONNECT_TIMEOUT_MS,
                connectionUse = ConnectionUse.EXCLUSIVE
            )
        val timeoutMs = patience.limitMs
        BufferedCall(loop, http, request, timeoutMs) { result ->
            isFetching = false
            val snapshot = (result as? BufferedResult.Answered)?.let { decodeSnapshot(it.text) }
            if (snapshot == null) {
                patience.givenUp()
                log.event(
                    "snapshot_failed",
                    "peer" to peer.instance,
                    "result" to result,
                    "limit_ms" to timeoutMs
                )
            } else {
                patience.answered()
                apply(snapshot, peer, takesServers)
            }
        }
    }

    private fun apply(snapshot: PeerSnapshot, peer: GossipMessage, takesServers: Boolean) {
        if (snapshot.configuration.isNotEmpty()) {
            configuration.read(snapshot.configuration.toByteArray(), peer.instance)
        }
        if (takesServers) {
            servers.replaceAll(snapshot.servers.mapNotNull { it.toBackendServer() })
        }
    }

    private companion object {
        const val NO_VERSION = -1L
        const val CONNECT_TIMEOUT_MS = 500
        const val INITIAL_TIMEOUT_MS = 500L
        const val MAX_TIMEOUT_MS = 4_000L

        /**
         * The store answers within a few ms after its longest wait. If the answer takes this much
         * longer, the store is considered unreachable.
         */
        const val UNREACHABLE_MS = 400L
    }
}
