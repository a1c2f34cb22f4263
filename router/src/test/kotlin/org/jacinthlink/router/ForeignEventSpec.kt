package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import org.jacinthlink.router.standins.RawServer
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.readRequestHead
import org.jacinthlink.router.standins.reportResponse
import org.jacinthlink.router.standins.requestIdIn

/**
 * An engine whose streams end with their connection. In the first answer to the request `N`, the
 * first N bytes of a late answer follow [ownBefore]; the second answer is sound.
 */
private class ForeignBytesEngine(private val ownBefore: String, private val ownAfter: String) :
    AutoCloseable {
    private val server = RawServer(::serve)
    private val seen: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val entry = server.entry("model")

    private fun serve(socket: Socket) {
        socket.tcpNoDelay = true
        val input = socket.getInputStream().bufferedReader()
        val output = socket.getOutputStream()
        var id: String? = null
        while (id == null) {
            val head = readRequestHead(input) ?: return
            id = requestIdIn(head)
            if (id == null) output.write(reportResponse("single", ENGINE_TOKENS).toByteArray())
        }
        val head = "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nResponse-Seal: s\r\n\r\n"
        if (seen.add(id)) {
            output.write((head + ownBefore).toByteArray())
            Thread.sleep(PAUSE_MS)
            output.write(LATE.take(id.toInt()).toByteArray())
            Thread.sleep(PAUSE_MS)
            output.write(ownAfter.toByteArray())
        } else {
            output.write((head + EVENTS).toByteArray())
        }
        socket.close()
    }

    override fun close() = server.close()
}

class ForeignEventSpec :
    DescribeSpec({
        val callers = Executors.newFixedThreadPool(CALLERS)

        afterSpec { callers.shutdownNow() }

        /** What the callers of `/ROUTE/x` got that is neither the stream nor a part of it. */
        fun wrongStreams(route: String, ownBefore: String): Map<String, String> =
            RouterFixture(retryBudget = RetryBudgetSettings(extra = 1_000.0)).use { fixture ->
                val ownAfter = EVENTS.removePrefix(ownBefore)
                ForeignBytesEngine(ownBefore, ownAfter).use { engine ->
                    fixture.awaitLayers()
                    fixture.engines.forEach { fixture.store.delete("servers/${it.instanceId}") }
                    fixture.store.write("servers/single", engine.entry)
                    Thread.sleep(SERVER_KNOWN_MS)
                    val ids = (1..LATE.length).map { "$it" }
                    ids.map { callers.submit<String> { fixture.call("/$route/x", it) } }
                        .map { it.get(30, TimeUnit.SECONDS) }
                        .let { ids.zip(it).toMap() }
                        .filterValues { it.startsWith("HTTP/1.1 200") }
                        .mapValues { unchunked(it.value.substringAfter("\r\n\r\n", "")) }
                        .filterValues { !EVENTS.startsWith(it) }
                }
            }

        // Guards against a caller that gets the head or the events of another response.
        describe("a late answer between the events of a stream, cut at any byte") {
            listOf("" to "first", EVENT_1 to "second").forEach { (ownBefore, name) ->
                it("does not reach the caller before the $name event") {
                    wrongStreams("s", ownBefore).entries.shouldBeEmpty()
                }
            }

            it("does not reach the caller of a stream that may run once") {
                wrongStreams("single", EVENT_1).entries.shouldBeEmpty()
            }
        }
    })

private fun unchunked(text: String): String {
    val size = text.substringBefore("\r\n").toIntOrNull(16) ?: 0
    if (size == 0) return ""
    val rest = text.substringAfter("\r\n")
    return rest.take(size) + unchunked(rest.drop(size + 2))
}

private const val EVENT_1 = "id: 1\ndata: own\n\n"
private const val EVENTS = EVENT_1 + "id: 2\ndata: own\n\nid: 3\ndata: own\n\n"
private const val LATE =
    "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\nContent-Length: 19\r\n\r\n" +
        "id: 7\ndata: stale\n\n"
private const val PAUSE_MS = 20L
private const val CALLERS = 40
private const val ENGINE_TOKENS = 9_000
private const val SERVER_KNOWN_MS = 1_500L
