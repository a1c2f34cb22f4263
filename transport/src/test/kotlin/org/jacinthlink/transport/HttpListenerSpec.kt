package org.jacinthlink.transport

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import java.util.concurrent.CompletableFuture

class HttpListenerSpec :
    DescribeSpec({
        val loop = eventLoop("test")

        afterSpec { loop.stop() }

        fun server(
            limits: ServerLimits = WIDE_LIMITS,
            handler: ServerHandler
        ): Address = freeAddress().also { listen(loop, it, { limits }, handler) }

        val echo = ServerHandler { request, exchange ->
            exchange.respond(200, emptyList(), (request.target + "|").toByteArray() + request.body)
        }

        describe("a server") {
            it("answers the requests of a persistent connection in order") {
                val socket =
                    server(handler = echo).connectAndSend(
                        "GET /a HTTP/1.1\r\nHost: h\r\n\r\n" +
                            "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n" +
                            "Connection: close\r\n\r\nxy"
                    )
                val text = socket.readAll()
                text.indexOf("/a|") shouldBe text.indexOf("/a|").coerceAtMost(text.indexOf("/b|xy"))
                text shouldContain "/b|xy"
            }

            // Guards against engines that continue to work for clients that have disconnected.
            it("reports a client that disconnects before its response") {
                val disconnected = CompletableFuture<Boolean>()
                val address = server { _, exchange ->
                    exchange.onClientClosed { disconnected.complete(exchange.isOpen) }
                }
                address.connectAndSend("GET /a HTTP/1.1\r\nHost: h\r\n\r\n").close()
                disconnected.await() shouldBe false
            }

            // Guards against requests that are passed on after their clients have given up, because
            // the process did not run meanwhile. Of one restart, five such requests were seen.
            it("does not handle a request whose client has left during a pause of the process") {
                val handled = java.util.concurrent.CopyOnWriteArrayList<String>()
                val address = server { request, exchange ->
                    handled.add(request.target)
                    exchange.respond(200, emptyList(), ByteArray(0))
                }
                fun send(path: String) =
                    address.connectAndSend("GET $path HTTP/1.1\r\nHost: h\r\n\r\n")
                val kept = send("/before")
                await { handled.size == 1 }
                loop.execute { Thread.sleep(400) }
                Thread.sleep(50)
                repeat(5) { send("/left").close() }
                kept.getOutputStream().write("GET /left HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
                kept.close()
                val waiting = send("/waits")
                waiting.getInputStream().read()
                Thread.sleep(100)
                handled shouldBe listOf("/before", "/waits")
            }

            // Guards against a client that waits for ever behind a head, because a part of its
            // answer could not be written.
            it("closes the connection of an answer that could not be written") {
                val address = server { _, exchange ->
                    exchange.startStream(200, emptyList())
                    // The encoder takes no second head before the end of the first answer.
                    exchange.startStream(200, emptyList())
                }
                val socket = address.connectAndSend("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
                socket.readAll() shouldNotContain "0\r\n\r\n"
            }

            // Guards against a request that gets neither an answer nor a refusal because its
            // handler fails, for example by a value of a new configuration.
            it("answers a request whose handler fails with 500") {
                val address = server { _, exchange ->
                    exchange.respond(200, listOf(HeaderField("a\nb", "x")), ByteArray(0))
                }
                val socket = address.connectAndSend("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
                val answer = ByteArray(12).also { socket.getInputStream().read(it) }
                answer.decodeToString() shouldBe "HTTP/1.1 500"
            }

            // Guards against a truncated stream that its client takes as complete.
            it("closes an aborted stream without the last chunk") {
                val address = server { _, exchange ->
                    exchange.startStream(200, emptyList())
                    exchange.write("id: 1\n\n".toByteArray())
                    loop.schedule(20) { exchange.abort() }
                }
                val text =
                    address.connectAndSend("GET /a HTTP/1.1\r\nHost: h\r\n\r\n").readAll()
                text shouldContain "id: 1"
                text shouldNotContain "\r\n0\r\n"
            }
        }

        describe("a connection that is idle while the idle timeout is lowered") {
            // Guards against a request that is lost because its client, which reuses the connection
            // within the timeout that it knows, meets the close by a new one.
            it("stays open for the timeout under which it became idle") {
                var limits = WIDE_LIMITS
                val address = freeAddress().also { listen(loop, it, { limits }, echo) }
                val socket = address.connectAndSend("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
                val first = ByteArray(12).also { socket.getInputStream().read(it) }
                first.decodeToString() shouldBe "HTTP/1.1 200"
                loop.call { limits = WIDE_LIMITS.copy(idleTimeoutMs = 100) }
                Thread.sleep(1_600)
                val last = "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                socket.getOutputStream().write(last.toByteArray())
                socket.readAll() shouldContain "/b|"
            }
        }

        describe("requests that cannot be read safely") {
            // Guards against request smuggling: a peer that ends a chunk elsewhere sees a request.
            it("refuses bytes between the data of a chunk and its line end") {
                val text =
                    server(handler = echo).connectAndSend(
                        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
                            "2\r\nhi hidden\r\n0\r\n\r\n"
                    ).readAll()
                text shouldStartWith "HTTP/1.1 400"
            }

            // Guards against request smuggling: a request hidden in the body of another one.
            it("rejects a request with both Content-Length and Transfer-Encoding") {
                val text =
                    server(handler = echo).connectAndSend(
                        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n" +
                            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n"
                    ).readAll()
                text shouldStartWith "HTTP/1.1 400"
                text shouldNotContain "/b"
            }

            it("rejects headers over the limit") {
                val text =
                    server(handler = echo).connectAndSend(
                        "GET /a HTTP/1.1\r\nHost: h\r\nX: ${"x".repeat(20_000)}\r\n\r\n"
                    ).readAll()
                text shouldStartWith "HTTP/1.1 431"
            }

            it("rejects a body over the limit") {
                val text =
                    server(WIDE_LIMITS.copy(maxBodyBytes = 4), echo).connectAndSend(
                        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345"
                    ).readAll()
                text shouldStartWith "HTTP/1.1 413"
            }

            // Guards against clients that hold connections open by sending slowly.
            it("rejects a request that does not arrive completely within its time limit") {
                val text =
                    server(WIDE_LIMITS.copy(requestTimeoutMs = 100), echo)
                        .connectAndSend("GET /a HTTP/1.1\r\nHo").readAll()
                text shouldStartWith "HTTP/1.1 408"
            }
        }
    })
