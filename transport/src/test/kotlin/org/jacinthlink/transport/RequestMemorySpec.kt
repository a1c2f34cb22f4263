package org.jacinthlink.transport

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/** A server that holds its requests, with memory for ten bodies of [BODY_BYTES]. */
private class HoldingServer(private val loop: EventLoop) {
    val handled = CopyOnWriteArrayList<ServerRequest>()
    val held = CopyOnWriteArrayList<ServerExchange>()

    /** Kept, because a socket that is garbage collected closes its connection. */
    private val clients = CopyOnWriteArrayList<Socket>()
    val memory = RequestMemory(MemoryBounds(13L * BODY_BYTES, 10L * BODY_BYTES, SHORT_BYTES))
    val address = freeAddress().also { listen(loop, it, { WIDE_LIMITS }, memory, ::handle) }

    private fun handle(request: ServerRequest, exchange: ServerExchange) {
        handled.add(request)
        if (request.target == "/held") {
            held.add(exchange)
        } else {
            exchange.respond(200, emptyList(), "<${request.target}>".toByteArray())
        }
    }

    /** Sends as many requests with a long body as there is memory for. */
    fun fill(): List<Socket> {
        val sockets = (1..10).map { address.connectAndSend(post("/held", BODY_BYTES)) }
        clients.addAll(sockets)
        await { held.size == 10 }
        return sockets
    }

    fun usedBytes(): Long = loop.call { memory.requestBytes + memory.answerBytes }
}

private fun post(target: String, bytes: Int, fields: String = "") =
    "POST $target HTTP/1.1\r\nHost: h\r\n${fields}Content-Length: $bytes\r\n\r\n" +
        "x".repeat(bytes)

private fun chunked(target: String, chunks: Int) =
    "POST $target HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
        "1\r\nx\r\n".repeat(chunks) + "0\r\n\r\n"

private const val LAST = "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

class RequestMemorySpec :
    DescribeSpec({
        val loop = eventLoop("test")

        afterSpec { loop.stop() }

        describe("memory for requests") {
            it("follows from the heap, and keeps a part for short bodies") {
                val bounds = memoryBounds(heapBytes = 48_000_000)
                bounds.totalBytes shouldBe 16_000_000
                bounds.longBytes shouldBe 14_000_000
                bounds.admits(14_000_000, 16_384, 16_384) shouldBe true
                bounds.admits(14_000_000, 16_384, 16_385) shouldBe false
                bounds.admits(15_999_000, 1_001, 1_001) shouldBe false
            }

            // Guards against an announced length that passes the bound by an overflow.
            it("doesn't admit the longest length that a head can announce") {
                memoryBounds(heapBytes = 48_000_000)
                    .admits(1, Long.MAX_VALUE, Long.MAX_VALUE) shouldBe false
            }
        }

        describe("a request for which there is no memory") {
            // Guards against bodies that together fill the heap, which ends the event loop.
            it("is refused at once, and its connection serves the next one") {
                val server = HoldingServer(loop)
                server.fill()
                val socket = server.address.connectAndSend(post("/long", BODY_BYTES) + LAST)
                val text = socket.readAll()
                text shouldStartWith "HTTP/1.1 503"
                text shouldContain "</last>"
                server.handled.none { it.target == "/long" } shouldBe true
            }

            // Guards against the same with bodies whose length isn't known.
            it("is refused when its body grows, also in chunks of one byte") {
                val server = HoldingServer(loop)
                server.fill()
                val text = server.address.connectAndSend(chunked("/long", BODY_BYTES) + LAST)
                    .readAll()
                text shouldStartWith "HTTP/1.1 503"
                text shouldContain "</last>"
            }

            it("is refused after its body if its connection closes") {
                val server = HoldingServer(loop)
                server.fill()
                val request = post("/long", BODY_BYTES, "Connection: close\r\n")
                val text = server.address.connectAndSend(request).readAll()
                text shouldStartWith "HTTP/1.1 503"
            }

            it("is refused in place of the leave to send its body, and the connection closes") {
                val server = HoldingServer(loop)
                server.fill()
                val head =
                    post("/long", BODY_BYTES, "Expect: 100-continue\r\n").substringBefore("xx")
                val text = server.address.connectAndSend(head).readAll()
                text shouldStartWith "HTTP/1.1 503"
                text shouldNotContain "100 Continue"
            }

            // Guards against clients that are asked to send a body again that is never accepted.
            it("is refused as too long if its body is longer than allowed") {
                val server = HoldingServer(loop)
                server.fill()
                val bytes = WIDE_LIMITS.maxBodyBytes + 1L
                val head = "POST /long HTTP/1.1\r\nHost: h\r\nContent-Length: $bytes\r\n\r\n"
                server.address.connectAndSend(head).readAll() shouldStartWith "HTTP/1.1 413"
            }

            it("is accepted if its body is short") {
                val server = HoldingServer(loop)
                server.fill()
                val socket = server.address.connectAndSend(post("/short", 100) + LAST)
                socket.readAll() shouldContain "</short>"
            }
        }

        describe("the memory of a request") {
            it("is free again after its answer, its refusal and the end of its client") {
                val server = HoldingServer(loop)
                val sockets = server.fill()
                server.usedBytes() shouldBe 10L * BODY_BYTES
                sockets.take(5).forEach { it.close() }
                await { server.usedBytes() == 5L * BODY_BYTES }
                server.address.connectAndSend(post("/a", BODY_BYTES) + LAST).readAll()
                val partly = server.address.connectAndSend(post("/b", BODY_BYTES).dropLast(9))
                await { server.usedBytes() > 5L * BODY_BYTES }
                partly.close()
                await { server.usedBytes() == 5L * BODY_BYTES }
                loop.call { server.held.forEach { it.respond(200, emptyList(), ByteArray(0)) } }
                await { server.usedBytes() == 0L }
            }

            it("counts requests behind one that waits, and they are answered") {
                val server = HoldingServer(loop)
                val socket = server.address.connectAndSend(
                    post("/held", 10) + post("/a", BODY_BYTES) + post("/b", 2 * BODY_BYTES) + LAST
                )
                await { server.held.size == 1 }
                await { server.usedBytes() > 10 }
                loop.execute { server.held.first().respond(200, emptyList(), ByteArray(0)) }
                val text = socket.readAll()
                listOf("</a>", "</b>", "</last>").forEach { text shouldContain it }
                await { server.usedBytes() == 0L }
            }

            it("keeps the bytes of each body as they are") {
                val server = HoldingServer(loop)
                val body = (1..BODY_BYTES).joinToString("") { "${it % 10}" }
                val head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: $BODY_BYTES\r\n\r\n"
                server.address.connectAndSend(head + body + LAST).readAll()
                server.handled.first().body.decodeToString() shouldBe body
            }
        }
    })

private const val BODY_BYTES = 100_000
private const val SHORT_BYTES = 16_384L
