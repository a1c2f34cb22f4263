package org.jacinthlink.transport

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.Socket

/** What callers see of connections that a server closes on its own account. */
class PlannedCloseSpec :
    DescribeSpec({
        val loop = eventLoop("test")
        val long = ByteArray(LONG_BYTES)

        afterSpec { loop.stop() }

        fun server(limits: ServerLimits = WIDE_LIMITS): HttpListener =
            listen(loop, Address("127.0.0.1", 0), { limits }) { request, exchange ->
                val body = if (request.path == "/long") long else request.target.toByteArray()
                exchange.respond(200, emptyList(), body)
            }

        fun HttpListener.open(text: String = ""): Socket =
            Address("127.0.0.1", port).connectAndSend(text)

        /** Sends a request and reads its answer; the connection stays open. */
        fun Socket.use() {
            getOutputStream().write(request("/first").toByteArray())
            await { getInputStream().available() > 0 }
            getInputStream().readNBytes(getInputStream().available())
        }

        /** Lets [action] happen while the loop is busy, right before it closes idle connections. */
        fun HttpListener.closeIdleBehind(action: () -> Unit) {
            loop.execute {
                Thread.sleep(BUSY_MS)
                closeIdle()
            }
            Thread.sleep(BUSY_MS / 2)
            action()
        }

        describe("the end of an answer to a slow reader") {
            // Guards against a stop that cuts the end of a complete answer, which still waits in
            // this process.
            it("is awaited by a stop, and is not cut by the close of idle connections") {
                val server = server()
                val socket = server.open(request("/long"))
                Thread.sleep(SETTLE_MS)
                loop.call { server.activeRequestCount } shouldBe 1
                loop.call { server.closeIdle() }
                Thread.sleep(SETTLE_MS)
                socket.getInputStream().readNBytes(LONG_BYTES).size shouldBe LONG_BYTES
                await { loop.call { server.activeRequestCount } == 0 }
            }

            it("is not cut by the idle timeout while the reader goes on") {
                val server = server(WIDE_LIMITS.copy(idleTimeoutMs = 0))
                val socket = server.open(request("/long"))
                val parts =
                    (1..SLOW_PARTS).map {
                        Thread.sleep(SLOW_PART_MS)
                        socket.getInputStream().readNBytes(LONG_BYTES / SLOW_PARTS).size
                    }
                parts.sum() shouldBe LONG_BYTES / SLOW_PARTS * SLOW_PARTS
            }

            it("does not keep a connection whose reader has stopped") {
                val server = server(WIDE_LIMITS.copy(idleTimeoutMs = 0))
                server.open(request("/long"))
                await { loop.call { server.activeRequestCount } == 1 }
                await { loop.call { server.activeRequestCount } == 0 }
            }

            // Guards against a reset by the close, which discards what the caller has not read.
            it("arrives although the caller has sent more than was read") {
                val server = server()
                val socket = server.open(request("/long", "Connection: close\r\n"))
                Thread.sleep(SETTLE_MS)
                socket.getOutputStream().write(ByteArray(200_000) { 'x'.code.toByte() })
                Thread.sleep(SETTLE_MS)
                socket.getInputStream().readAllBytes().size shouldBeGreaterThan LONG_BYTES
            }
        }

        describe("a request that arrives before idle connections are closed") {
            // Guards against an empty answer in place of a refusal during a planned stop.
            it("is answered on a new connection, whose bytes were not read yet") {
                val server = server()
                var socket: Socket? = null
                server.closeIdleBehind {
                    socket = server.open(request("/new", "Connection: close\r\n"))
                }
                checkNotNull(socket).readAll() shouldContain "/new"
            }

            it("is answered on a connection that was open and unused") {
                val server = server()
                val socket = server.open()
                Thread.sleep(SETTLE_MS)
                server.closeIdleBehind {
                    socket.getOutputStream()
                        .write(request("/unused", "Connection: close\r\n").toByteArray())
                }
                socket.readAll() shouldContain "/unused"
            }

            it("is answered on a kept connection") {
                val server = server()
                val socket = server.open()
                socket.use()
                server.closeIdleBehind {
                    socket.getOutputStream()
                        .write(request("/kept", "Connection: close\r\n").toByteArray())
                }
                socket.readAll() shouldContain "/kept"
            }
        }

        describe("the close of idle connections") {
            // Guards against an empty answer for a caller that was slow to send its request.
            it("leaves a caller that has just connected the time to send its request") {
                val server = server()
                val socket = server.open()
                Thread.sleep(SETTLE_MS)
                loop.call { server.closeIdle() }
                Thread.sleep(SETTLE_MS)
                socket.getOutputStream()
                    .write(request("/late", "Connection: close\r\n").toByteArray())
                socket.readAll() shouldContain "/late"
            }

            it("closes used and unused connections") {
                val server = server()
                val sockets = listOf(server.open().apply { use() }, server.open())
                Thread.sleep(SETTLE_MS)
                loop.call { server.closeIdle() }
                sockets.map { it.getInputStream().read() } shouldContainExactly listOf(-1, -1)
            }
        }
    })

private fun request(path: String, headers: String = ""): String =
    "GET $path HTTP/1.1\r\nHost: h\r\n$headers\r\n"

/** More than the buffers of a loopback connection take. */
private const val LONG_BYTES = 16_000_000
private const val SETTLE_MS = 200L
private const val BUSY_MS = 400L

/** The answer takes longer than the idle timeout with its margin. */
private const val SLOW_PARTS = 8
private const val SLOW_PART_MS = 300L
