package org.jacinthlink.transport

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.util.concurrent.CopyOnWriteArrayList

/** A server that answers each request with its target, and `/large` with a long body. */
private class TargetServer(loop: EventLoop) {
    val handled = CopyOnWriteArrayList<String>()
    val held = CopyOnWriteArrayList<ServerExchange>()
    val address = freeAddress()
    val listener = listen(loop, address, { WIDE_LIMITS }, ::handle)

    private fun handle(request: ServerRequest, exchange: ServerExchange) {
        handled.add(request.target)
        when (request.target) {
            "/held" -> held.add(exchange)
            "/large" -> exchange.respond(200, emptyList(), LARGE)
            else -> exchange.respond(200, emptyList(), "<${request.target}>".toByteArray())
        }
    }
}

private fun get(target: String) = "GET $target HTTP/1.1\r\nHost: h\r\n\r\n"

class PipelinedRequestSpec :
    DescribeSpec({
        val loop = eventLoop("test")

        afterSpec { loop.stop() }

        describe("requests behind one that is answered later") {
            // Guards against a stack overflow, after which the connection falls silent.
            it("are all answered in order, however many") {
                val server = TargetServer(loop)
                val warmUp = "POST /w HTTP/1.1\r\nHost: h\r\nContent-Length: $LONG_BYTES\r\n\r\n"
                // After a long body, many requests are read at once.
                val socket = server.address.connectAndSend(warmUp + "x".repeat(LONG_BYTES))
                await { server.handled.size == 1 }
                val targets = (1..REQUESTS).map { "/$it" }
                val last = "GET /end HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                val all = get("/held") + targets.joinToString("", transform = ::get) + last
                socket.getOutputStream().write(all.toByteArray())
                await { server.held.size == 1 }
                Thread.sleep(PAUSE_MS)
                loop.execute { server.held.first().respond(200, emptyList(), ByteArray(0)) }
                val answered = Regex("<(.*?)>").findAll(socket.readAll()).map { it.groupValues[1] }
                answered.toList() shouldBe listOf("/w") + targets + "/end"
            }
        }

        describe("a request behind a response that closes its connection") {
            // Guards against a caller that takes the response to its third request for that to the
            // second, of which one half came before the first response and one half after it.
            it("is not handled when the connection drains and its client reads slowly") {
                val server = TargetServer(loop)
                val second = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
                val socket = server.address.connectAndSend(get("/held") + second + "xx")
                await { server.held.size == 1 }
                loop.call { server.listener.drain() }
                loop.call { server.held.first().respond(200, emptyList(), LARGE) }
                socket.getOutputStream().write(("xx" + get("/c")).toByteArray())
                Thread.sleep(PAUSE_MS)
                socket.readAll() shouldNotContain "</c>"
                server.handled shouldBe listOf("/held")
            }

            // Guards against a request that runs although its client was told that it does not.
            it("is not handled when a request before it was refused") {
                val server = TargetServer(loop)
                val socket = server.address.connectAndSend(get("/large"))
                Thread.sleep(PAUSE_MS)
                val refused = "GET /b HTTP/1.1\r\n\r\n"
                socket.getOutputStream().write((refused + get("/c")).toByteArray())
                Thread.sleep(PAUSE_MS)
                val text = socket.readAll()
                text shouldContain "HTTP/1.1 400"
                text shouldNotContain "</c>"
                server.handled shouldBe listOf("/large")
            }
        }
    })

private const val PAUSE_MS = 200L
private const val LONG_BYTES = 900_000
private const val REQUESTS = 3_000

/** More than the buffers of a connection hold. */
private val LARGE = ByteArray(12_000_000) { 'x'.code.toByte() }
