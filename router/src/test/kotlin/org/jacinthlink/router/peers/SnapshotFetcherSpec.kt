package org.jacinthlink.router.peers

import io.kotest.core.spec.style.DescribeSpec
import java.util.concurrent.atomic.AtomicInteger
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.router.decisionLog
import org.jacinthlink.router.standins.RawServer
import org.jacinthlink.router.standins.WIDE_LIMITS
import org.jacinthlink.router.standins.await
import org.jacinthlink.router.standins.configuration
import org.jacinthlink.router.standins.freePort
import org.jacinthlink.router.standins.readRequestHead
import org.jacinthlink.router.state.ConfigurationCache
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.ServerHandler
import org.jacinthlink.transport.eventLoop
import org.jacinthlink.transport.httpClient
import org.jacinthlink.transport.listen

class SnapshotFetcherSpec :
    DescribeSpec({
        val loop = eventLoop("test")

        afterSpec { loop.stop() }

        val snapshot =
            ProtocolJson.encodeToString(
                PeerSnapshot.serializer(),
                PeerSnapshot(configuration(2), emptyList())
            ).toByteArray()

        /** Fetches from the routers of [peers] until their configuration has been read. */
        fun fetch(port: Int, peers: List<GossipMessage>) {
            val log = decisionLog("r")
            val configurations = ConfigurationCache(log) {}
            val servers = ServerRegistry(log, { System.nanoTime() / 1_000_000 }) {}
            val fetcher =
                SnapshotFetcher(loop, httpClient(loop), port, configurations, servers, log)
            val ticks = loop.repeat(50) { fetcher.tick(peers, ownStoreAgeMs = 0, waitMs = 1_000) }
            try {
                await(5_000) { configurations.current?.version == 2L }
            } finally {
                ticks.cancel()
            }
        }

        fun peer(host: String) = GossipMessage(host, host, 1, configurationVersion = 2)

        describe("a snapshot of the servers") {
            // Guards against servers that have ended and come back with an earlier snapshot.
            it("is not the late second answer to an earlier request") {
                val requests = AtomicInteger()
                val peer = RawServer { socket ->
                    val input = socket.getInputStream().bufferedReader()
                    var late = ""
                    while (readRequestHead(input) != null) {
                        val response = snapshotResponse(requests.incrementAndGet())
                        socket.getOutputStream().write((late + response).toByteArray())
                        late = response
                    }
                }
                val log = decisionLog("r")
                val servers = ServerRegistry(log, { System.nanoTime() / 1_000_000 }) {}
                val fetcher =
                    SnapshotFetcher(
                        loop,
                        httpClient(loop),
                        peer.address.substringAfter(':').toInt(),
                        ConfigurationCache(log) {},
                        servers,
                        log
                    )
                fun fetch() =
                    loop.execute {
                        fetcher.tick(
                            listOf(GossipMessage("p", "127.0.0.1", 1, storeAgeMs = 0)),
                            ownStoreAgeMs = null,
                            waitMs = 1_000
                        )
                    }
                peer.use {
                    fetch()
                    await(2_000) { servers.all.size == 1 }
                    fetch()
                    await(2_000) { servers.all.size == 2 }
                }
            }
        }

        describe("the snapshot of a peer with a newer configuration") {
            // Guards against a small router that falls behind for good because it gives up each
            // snapshot that is on its way, and asks for the same again.
            it("is taken although it takes longer than usual") {
                val handler = ServerHandler { _, exchange ->
                    loop.schedule(SLOW_MS) { exchange.respond(200, emptyList(), snapshot) }
                }
                val listener = listen(loop, Address("127.0.0.1", 0), { WIDE_LIMITS }, handler)
                fetch(listener.port, listOf(peer("127.0.0.1")))
            }

            it("is fetched from another one if the first peer is silent") {
                val port = freePort()
                listen(loop, Address("127.0.0.1", port), { WIDE_LIMITS }) { _, _ -> }
                listen(loop, Address("127.0.0.2", port), { WIDE_LIMITS }) { _, exchange ->
                    exchange.respond(200, emptyList(), snapshot)
                }
                fetch(port, listOf(peer("127.0.0.1"), peer("127.0.0.2")))
            }
        }
    })

/** Response with a snapshot of [count] servers. */
private fun snapshotResponse(count: Int): String {
    val servers =
        (1..count).map { PeerServer("i$it", "model", "127.0.0.1", it, "a", true, 1, 1) }
    val text =
        ProtocolJson.encodeToString(PeerSnapshot.serializer(), PeerSnapshot("", servers))
    return "HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n$text"
}

/** Longer than the first attempt waits. */
private const val SLOW_MS = 800L
