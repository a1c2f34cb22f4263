package org.jacinthlink.router

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread
import org.jacinthlink.router.standins.RawServer
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.await
import org.jacinthlink.router.standins.readRequestHead
import org.jacinthlink.router.standins.reportResponse
import org.jacinthlink.router.standins.requestIdIn

/** An engine that answers each stream with a sound head, and with [bytes] without end. */
private class EndlessEngine(private val bytes: String) : AutoCloseable {
    private val server = RawServer(::serve)
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()
    val entry = server.entry("model")

    /** Number of streams that it answers. */
    val streamCount: Int get() = sockets.size

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader()
        val output = socket.getOutputStream()
        while (true) {
            val head = readRequestHead(input) ?: return
            val id = requestIdIn(head)
            if (id == null) {
                output.write(reportResponse("endless", ENGINE_TOKENS).toByteArray())
                continue
            }
            val answer = "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nResponse-Seal: s\r\n\r\n"
            output.write(answer.toByteArray())
            sockets.add(socket)
            val block = bytes.repeat(BLOCK_BYTES / bytes.length).toByteArray()
            while (true) output.write(block)
        }
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }
}

class EmptyEventsSpec :
    DescribeSpec({
        /** Reads as fast as the router sends, and keeps nothing. */
        fun readAll(caller: Socket) {
            val block = ByteArray(BLOCK_BYTES)
            val input = caller.getInputStream()
            while (input.read(block) >= 0) continue
        }

        /** Runs [action] while all streams are answered with [bytes] without end. */
        fun whileEndless(bytes: String, action: (RouterFixture) -> Unit) =
            RouterFixture(retryBudget = RetryBudgetSettings(extra = 1_000.0)).use { fixture ->
                EndlessEngine(bytes).use { engine ->
                    fixture.awaitLayers()
                    fixture.engines.forEach { fixture.store.delete("servers/${it.instanceId}") }
                    fixture.store.write("servers/endless", engine.entry)
                    Thread.sleep(SERVER_KNOWN_MS)
                    val callers = List(STREAMS) { fixture.open("/s/x", "stream-$it") }
                    callers.forEach { thread(isDaemon = true) { runCatching { readAll(it) } } }
                    await { engine.streamCount >= STREAMS / 2 }
                    action(fixture)
                    callers.forEach { it.close() }
                }
            }

        describe("requests of a plain service beside streams of events without content") {
            val events =
                mapOf(
                    "line feeds" to "\n",
                    "comments" to ":\n\n",
                    "the same event" to "id: 1\n\n",
                    "events without an id" to "data: x\n\n"
                )
            events.forEach { (name, bytes) ->
                // Guards against an event loop that writes each empty event to the caller on its
                // own, and has no time for other requests (review case 7).
                it("are answered in time: $name") {
                    whileEndless(bytes) { fixture ->
                        repeat(REQUESTS) {
                            val startedNs = System.nanoTime()
                            fixture.call("/once/x", "plain-$it") shouldStartWith "HTTP/1.1 200"
                            val elapsedMs = (System.nanoTime() - startedNs) / NANOS_PER_MS
                            withClue("request $it") { elapsedMs shouldBeLessThan MAX_REQUEST_MS }
                        }
                    }
                }
            }
        }
    })

private const val STREAMS = 12
private const val REQUESTS = 15
private const val ENGINE_TOKENS = 9_000
private const val SERVER_KNOWN_MS = 1_500L
private const val BLOCK_BYTES = 65_536
private const val NANOS_PER_MS = 1_000_000L

/** Clients get an answer within half a second of the limit of their route. */
private const val MAX_REQUEST_MS = 500L
