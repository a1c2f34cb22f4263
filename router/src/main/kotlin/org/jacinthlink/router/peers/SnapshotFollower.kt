package org.jacinthlink.router.peers

import org.jacinthlink.transport.BufferedCall
import org.jacinthlink.transport.BufferedResult
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.beliefs.ConfigurationBelief
import org.jacinthlink.router.beliefs.ServerDirectory
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.ClientRequest
import org.jacinthlink.transport.EventLoop
import org.jacinthlink.transport.HeaderField
import org.jacinthlink.transport.HttpClient

/** Takes configuration and servers from a peer while this router cannot read the store itself. */
internal class SnapshotFollower(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val peerPort: Int,
    private val configuration: ConfigurationBelief,
    private val servers: ServerDirectory,
    private val log: DecisionLog
) {
    private var isAsking = false
    private var turn = 0

    /**
     * Asks a peer if that helps.
     *
     * @param ownStoreAgeMs Since the store last answered this router, or null if it never did.
     */
    fun tick(peers: List<PeerNews>, ownStoreAgeMs: Long?, waitMs: Long) {
        val ownVersion = configuration.current?.version
        val isBlind = ownStoreAgeMs == null || ownStoreAgeMs > waitMs + BLIND_MS
        val isBehind = peers.any { (it.configurationVersion ?: -1) > (ownVersion ?: -1) }
        if (isAsking || !isBlind && !isBehind) return
        val informed = peers.filter { peer ->
            (peer.storeAgeMs ?: Long.MAX_VALUE) < (ownStoreAgeMs ?: Long.MAX_VALUE) ||
                (peer.configurationVersion ?: -1) > (ownVersion ?: -1)
        }
        val peer = informed.maxByOrNull { it.configurationVersion ?: -1 } ?: return
        ask(informed[turn++ % informed.size].takeIf { !isBehind } ?: peer, isBlind)
    }

    private fun ask(peer: PeerNews, takesServers: Boolean) {
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
        const val TIMEOUT_MS = 500

        /** The store answers in a few ms; after this time without an answer it is out of reach. */
        const val BLIND_MS = 400L
    }
}
