package org.jacinthlink.transport

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.lang.ref.WeakReference
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

class HttpClientSpec :
    DescribeSpec({
        val loop = eventLoop("test")
        val client = httpClient(loop)

        afterSpec { loop.stop() }

        /** Starts a server that sends [answer] to each request and then runs [after]. */
        fun server(answer: String, after: (Socket) -> Unit = {}): Address {
            val listening = ServerSocket(0)
            thread(isDaemon = true) {
                while (true) {
                    val socket = listening.accept()
                    thread(isDaemon = true) { serve(socket, answer, after) }
                }
            }
            return Address("127.0.0.1", listening.localPort)
        }

        fun get(address: Address, method: String = "GET"): RecordingListener {
            val listener = RecordingListener()
            val request =
                ClientRequest(address, method, "/", listOf(HeaderField("Host", "h")), ByteArray(0))
            loop.call { client.send(request, listener) }
            listener.end.await()
            return listener
        }

        describe("a request for which no socket can be opened") {
            // Guards against relays that run beside the event loop when descriptors are used up.
            it("fails on the event loop") {
                val limited = HttpClient(loop, { _, _ -> }, { throw IOException("no descriptor") })
                val failedOn = CompletableFuture<Thread>()
                val listener =
                    object : ClientListener {
                        override fun onHead(status: Int, headers: List<HeaderField>) = Unit

                        override fun onBody(part: ByteArray) = Unit

                        override fun onComplete() = Unit

                        override fun onFailure(failure: CallFailure) {
                            failedOn.complete(Thread.currentThread())
                        }
                    }
                val request =
                    ClientRequest(Address("127.0.0.1", 1), "GET", "/", emptyList(), ByteArray(0))
                loop.call { limited.send(request, listener) }
                failedOn.get(5, TimeUnit.SECONDS) shouldBe loop.call { Thread.currentThread() }
            }
        }

        describe("a response") {
            it("is complete when all bytes of its content length have arrived") {
                val address = server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                get(address).outcome() shouldBe "200 ok complete"
            }

            // Guards against a truncated response that is taken as complete.
            it("fails when the connection ends before all bytes of its content length") {
                val address =
                    server("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok") { it.close() }
                get(address).outcome() shouldBe "200 ok CONNECTION_LOST"
            }

            it("without a length is complete when the connection is closed") {
                val address = server("HTTP/1.1 200 OK\r\n\r\nok") { it.close() }
                get(address).outcome() shouldBe "200 ok complete"
            }

            // Guards against a response without a length that is taken as complete after a reset.
            it("without a length fails when the connection is reset") {
                val address = server("HTTP/1.1 200 OK\r\n\r\nok") {
                    Thread.sleep(100)
                    it.setSoLinger(true, 0)
                    it.close()
                }
                get(address).outcome() shouldBe "200 ok CONNECTION_LOST"
            }

            // Guards against a head that breaks off and is taken for one with an empty body.
            it("fails when the connection ends anywhere inside its head") {
                val head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\n"
                head.indices.forEach { length ->
                    val outcome = get(server(head.take(length)) { it.close() }).outcome()
                    withClue("$length bytes: $outcome") {
                        outcome.endsWith("complete") shouldBe
                            false
                    }
                }
            }

            // Guards against bytes that are no response in the protocol and pass for one.
            it("fails when its status line is none of HTTP/1") {
                INVALID_STATUS_LINES.forEach { line ->
                    val outcome = get(server("$line\r\nContent-Length: 2\r\n\r\nok")).outcome()
                    withClue(line) { outcome shouldBe "0  MALFORMED_ANSWER" }
                }
            }

            // Guards against a call that waits for the rest of a response that never follows.
            it("fails when it switches to a protocol that nobody asked for") {
                val address = server("HTTP/1.1 101 Switching Protocols\r\n\r\n")
                get(address).outcome() shouldBe "0  MALFORMED_ANSWER"
            }

            it("is valid with any status that HTTP allows") {
                listOf(200, 299, 300, 404, 418, 499, 500, 599).forEach { status ->
                    val address =
                        server("HTTP/1.1 $status \r\nContent-Length: 2\r\n\r\nok")
                    get(address).outcome() shouldBe "$status ok complete"
                }
            }

            // Guards against a proxy's field that is taken for a second status line.
            it("is valid with a field that names a version of HTTP and an address") {
                val via = "Via: HTTP/1.1 192.0.2.1:80, HTTP/1.0 203.0.113.7"
                val address = server("HTTP/1.1 200 OK\r\n$via\r\nContent-Length: 2\r\n\r\nok")
                get(address).outcome() shouldBe "200 ok complete"
            }

            it("to a HEAD request has no body") {
                val address = server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
                repeat(2) { get(address, "HEAD").outcome() shouldBe "200  complete" }
            }

            // Guards against a surplus response that is taken for the response to the next request.
            it("is never a surplus response from a pooled connection") {
                val surplus = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
                val address =
                    server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok$surplus")
                repeat(5) { get(address).outcome() shouldBe "200 ok complete" }
            }
        }

        describe("bytes without end") {
            /** Starts a server that sends [start] and then [part] until its caller closes. */
            fun endless(start: String, part: String): Address =
                server(start) { socket ->
                    val bytes = part.repeat(64).toByteArray()
                    try {
                        while (true) socket.getOutputStream().write(bytes)
                    } catch (_: java.io.IOException) {
                        socket.close()
                    }
                }

            // Guards against a process that runs out of memory because of one faulty server.
            it("in the head of a response fail it") {
                listOf(
                    endless("HTTP/1.1 200 OK\r\n", "X-Long: header\r\n"),
                    endless("HTTP/1.1 200 OK\r\nX-Long: ", "abcdefgh"),
                    endless("", "HTTP/1.1 2"),
                    endless("", "HTTP/1.1 100 Continue\r\n\r\n")
                ).forEach { get(it).outcome() shouldBe "0  MALFORMED_ANSWER" }
            }

            it("in the framing of a chunked body fail it") {
                val head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                listOf(
                    endless("${head}2;", "extension"),
                    endless("${head}2\r\nok\r\n0\r\n", "X-Trailer: t\r\n")
                ).forEach { get(it).end.get() shouldBe "MALFORMED_ANSWER" }
            }

            it("in a body fail a buffered call, and its memory is free again") {
                val address = endless("HTTP/1.1 200 OK\r\n\r\n", "abcdefgh")
                repeat(5) {
                    val result = CompletableFuture<BufferedResult>()
                    val request =
                        ClientRequest(address, "GET", "/", emptyList(), ByteArray(0))
                    loop.execute {
                        BufferedCall(loop, client, request, 10_000) { result.complete(it) }
                    }
                    result.await() shouldBe BufferedResult.Failed("response too large")
                }
            }

            it("are limited in all bodies together") {
                val memory = responseMemory(maxBytes = 10, maxTotalBytes = 15)
                val first = memory.buffer()
                first.append(ByteArray(10)) shouldBe true
                first.append(ByteArray(1)) shouldBe false
                memory.buffer().append(ByteArray(6)) shouldBe false
                first.release()
                memory.buffer().append(ByteArray(6)) shouldBe true
            }
        }

        describe("a connection") {
            it("that cannot be opened is reported as not connected") {
                get(freeAddress()).outcome() shouldBe "0  NOT_CONNECTED"
            }

            // Guards against a request that waits behind the rest of a body that nobody reads.
            it("whose server has answered before it has read the request is not reused") {
                val address =
                    server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") {
                        Thread.sleep(60_000)
                    }
                val headers = listOf(HeaderField("Host", "h"))
                val long = ClientRequest(address, "POST", "/", headers, ByteArray(16_000_000))
                val first = RecordingListener()
                loop.call { client.send(long, first) }
                first.outcome() shouldBe "200 ok complete"
                get(address).outcome() shouldBe "200 ok complete"
            }

            // Guards against a heap that fills with the bodies of requests that have ended.
            it("does not keep the body of the request that opened it") {
                val address = server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                fun send(): WeakReference<ByteArray> {
                    val body = ByteArray(1_000)
                    val fields = listOf(HeaderField("Host", "h"))
                    val listener = RecordingListener()
                    val request = ClientRequest(address, "POST", "/", fields, body)
                    loop.call { client.send(request, listener) }
                    listener.outcome() shouldBe "200  complete"
                    return WeakReference(body)
                }
                val body = send()
                await {
                    System.gc()
                    body.get() == null
                }
            }

            it("that is closed while idle is not reused") {
                val address =
                    server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") { it.close() }
                repeat(3) {
                    get(address).outcome() shouldBe "200 ok complete"
                    Thread.sleep(50)
                }
            }
        }
    })

private val INVALID_STATUS_LINES =
    listOf(
        "HTTP/1.1 000 Unknown",
        "HTTP/1.1 000",
        "HTTP/1.1 0 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 +200 OK",
        "HTTP/1.1 -200 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 \u0662\u0660\u0660 OK",
        "HTTP/2.0 200 OK",
        "HTTP/11 200 OK",
        "HTTQ/1.1 200 OK",
        "http/1.1 200 OK",
        "ICY 200 OK",
        "200 OK"
    )

private fun serve(socket: Socket, answer: String, after: (Socket) -> Unit) {
    val input = socket.getInputStream().bufferedReader()
    while (true) {
        val line = input.readLine() ?: return
        if (line.isEmpty()) {
            socket.getOutputStream().write(answer.toByteArray())
            after(socket)
            if (socket.isClosed) return
        }
    }
}
