package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import org.jacinthlink.router.standins.RawServer
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.readRequestHead
import org.jacinthlink.router.standins.reportResponse
import org.jacinthlink.router.standins.requestIdIn

/** A request with [id] that arrived on [connection]. */
private data class Arrival(val connection: Int, val id: String)

/**
 * A server that records on which connection each request with an id arrives. [answer] gets the
 * lines of its head, and the number of requests with the same id before it.
 */
private class RecordingServer(private val answer: (List<String>, Int) -> String) : AutoCloseable {
    private val server = RawServer(::serve)
    private val arrivals = CopyOnWriteArrayList<Arrival>()
    private var connections = 0
    val address = server.address

    /** Ids that came more than once, on any connections. */
    val repeatedIds get() = arrivals.groupBy { it.id }.filterValues { it.size > 1 }.keys

    /** Requests that came more than once on one connection. */
    val repeatedOnConnection get() = arrivals.groupBy { it }.filterValues { it.size > 1 }.keys

    fun engineEntry() = server.entry("model")

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader()
        val connection = synchronized(this) { connections++ }
        while (true) {
            val head = readRequestHead(input) ?: return
            val id = requestIdIn(head)
            val response =
                if (id == null) {
                    reportResponse("single")
                } else {
                    val earlier = arrivals.count { it.id == id }
                    arrivals.add(Arrival(connection, id))
                    answer(head, earlier)
                }
            socket.getOutputStream().write(response.toByteArray())
        }
    }

    override fun close() = server.close()
}

private fun response(head: List<String>, status: String, body: String) =
    "HTTP/1.1 $status\r\nAttempt-Id: ${requestIdIn(head)}\r\nResponse-Seal: s\r\n" +
        "Content-Length: ${body.length}\r\n\r\n$body"

class RepeatedSendSpec :
    DescribeSpec({
        // Guards against a late copy of the answer to the first attempt, which has the same id.
        describe("a request that is sent to the same server again") {
            it("comes on another connection after a stream that ended without an event") {
                val server = RecordingServer { head, earlier ->
                    val body = if (earlier < EMPTY_ANSWERS) "" else "id: 1\ndata: t\n\n"
                    response(head, "200 OK", body)
                }
                RouterFixture().use { fixture ->
                    server.use {
                        fixture.awaitLayers()
                        fixture.engines.forEach {
                            fixture.store.delete("servers/${it.instanceId}")
                        }
                        fixture.store.write("servers/single", server.engineEntry())
                        Thread.sleep(SERVER_KNOWN_MS)
                        repeat(5) { fixture.call("/s/x", "empty-$it") }
                        server.repeatedIds.size shouldBeGreaterThan 0
                        server.repeatedOnConnection.shouldBeEmpty()
                    }
                }
            }

            it("comes on another connection after a refusal meant for another instance") {
                val server = RecordingServer { head, _ ->
                    val isExpected = "Expect-Instance: new" in head
                    response(head, if (isExpected) "200 OK" else "421 Misdirected", "")
                }
                RouterFixture().use { fixture ->
                    server.use {
                        fixture.awaitLayers()
                        listOf("d1", "d2").forEach { fixture.store.delete("servers/$it") }
                        listOf("old", "new").forEach {
                            fixture.store.write(
                                "servers/$it",
                                """{"service":"desk","address":"${server.address}","zone":"a",
                                "state":"ready","slots":9,"born":1}"""
                            )
                        }
                        Thread.sleep(SERVER_KNOWN_MS)
                        repeat(20) {
                            fixture.call("/safe/x", "moved-$it", "GET") shouldStartWith
                                "HTTP/1.1 200"
                        }
                        server.repeatedIds.size shouldBeGreaterThan 0
                        server.repeatedOnConnection.shouldBeEmpty()
                    }
                }
            }
        }
    })

/** After so many empty answers to a request, the server sends a whole one. */
private const val EMPTY_ANSWERS = 5
private const val SERVER_KNOWN_MS = 1_500L
