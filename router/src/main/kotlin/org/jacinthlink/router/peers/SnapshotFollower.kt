package org.jacinthlink.router.peers

import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.state.ConfigurationCache
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.BufferedCall
import org.jacinthlink.transport.BufferedResult
import org.jacinthlink.transport.ClientRequest
import org.jacinthlink.transport.EventLoop
import org.jacinthlink.transport.HeaderField
import org.jacinthlink.transport.HttpClient

/** Takes configuration and servers from a peer while this router cannot read the store itself. */
internal class SnapshotFollower(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val peerPort: Int,
    private val configuration: ConfigurationCache,
    private val servers: ServerRegistry,
    private val log: DecisionLog
) {
    private var isAsking = false
    private var turn = 0

    /**
     * Asks a peer if that helps.
     *
     * @param ownStoreAgeMs Since the store last answered this router, or null if it never did.
     */
    fun tick(peers: List<GossipMessage>, ownStoreAgeMs: Long?, waitMs: Long) {
        if (isAsking) return
        val ownVersion = configuration.current?.version ?: NO_VERSION
        val isBlind = ownStoreAgeMs == null || ownStoreAgeMs > waitMs + BLIND_MS
        val ahead = peers.filter { it.version() > ownVersion }.maxByOrNull { it.version() }
        when {
            ahead != null -> ask(ahead, isBlind)
            isBlind -> informed(peers, ownStoreAgeMs)?.let { ask(it, takesServers = true) }
        }
    }

    /** A peer that has heard from the store later than this router, another one each time. */
    private fun informed(peers: List<GossipMessage>, ownStoreAgeMs: Long?): GossipMessage? {
        val ownAgeMs = ownStoreAgeMs ?: Long.MAX_VALUE
        val candidates = peers.filter { (it.storeAgeMs ?: Long.MAX_VALUE) < ownAgeMs }
        return if (candidates.isEmpty()) null else candidates[turn++ % candidates.size]
    }

    private fun GossipMessage.version(): Long = configurationVersion ?: NO_VERSION

    private fun ask(peer: GossipMessage, takesServers: Boolean) {
        isAsking = true
        val address = Address(peer.host, peerPort)
        val headers = listOf(HeaderField("Host", address.toString()))
        val request =
            ClientRequest(address, "GET", "/snapshot", headers, ByteArray(0), false, TIMEOUT_MS)
        BufferedCall(loop, http, request, TIMEOUT_MS.toLong()) { result ->
            isAsking = false
            val snapshot = (result as? BufferedResult.Answered)?.let { decodeSnapshot(it.text) }
            if (snapshot == null) {
                log.event("snapshot_failed", "peer" to peer.instance, "result" to result)
            } else {
                if (snapshot.configuration.isNotEmpty()) {
                    configuration.read(snapshot.configuration.toByteArray(), peer.instance)
                }
                if (takesServers) servers.follow(snapshot.servers.map { it.toBackendServer() })
            }
        }
    }

    private companion object {
        const val NO_VERSION = -1L
        const val TIMEOUT_MS = 500

        /** The store answers in a few ms; after this time without an answer it is out of reach. */
        const val BLIND_MS = 400L
    }
}
