package org.jacinthlink.transport

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

class EndlessInputSpec :
    DescribeSpec({
        val loop = eventLoop("test")
        val client = httpClient(loop)

        afterSpec { loop.stop() }

        /** Repeats [bytes] on [output] until the peer closes the connection. */
        fun flood(output: OutputStream, bytes: String) {
            val block = bytes.repeat(BLOCK_BYTES / bytes.length).toByteArray()
            try {
                while (true) output.write(block)
            } catch (_: IOException) {
                // The peer has closed the connection.
            }
        }

        /** Starts a server that answers each request with [head], and then [bytes] without end. */
        fun endlessServer(head: String, bytes: String): Address {
            val listening = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
            thread(isDaemon = true) {
                while (true) {
                    val socket = listening.accept()
                    thread(isDaemon = true) {
                        socket.getOutputStream().write(head.toByteArray())
                        flood(socket.getOutputStream(), bytes)
                    }
                }
            }
            return Address("127.0.0.1", listening.localPort)
        }

        /** Starts a server that answers each request with [body]. */
        fun soundServer(body: ByteArray): HttpListener =
            listen(loop, Address("127.0.0.1", 0), { WIDE_LIMITS }) { _, exchange ->
                exchange.respond(200, emptyList(), body)
            }

        fun request(address: Address) =
            ClientRequest(address, "GET", "/", listOf(HeaderField("Host", "h")), ByteArray(0))

        fun get(address: Address, listener: ClientListener) {
            loop.call { client.send(request(address), listener) }
        }

        fun elapsedMs(action: () -> Unit): Long {
            val startedAtMs = monotonicMs()
            action()
            return monotonicMs() - startedAtMs
        }

        /** Checks that [server] is served in time, although all other input has no end. */
        fun checkServed(server: HttpListener) {
            repeat(REQUESTS) {
                withClue("time of a turn") {
                    elapsedMs { loop.call { } } shouldBeLessThan
                        MAX_TURN_MS
                }
                val requestMs = elapsedMs {
                    val listener = RecordingListener()
                    get(Address("127.0.0.1", server.port), listener)
                    listener.outcome() shouldBe "200 ok complete"
                }
                withClue("time of a request") { requestMs shouldBeLessThan MAX_REQUEST_MS }
            }
        }

        /** Keeps [CONNECTIONS] calls of [address] under way while [action] runs. */
        fun whileCalling(address: Address, action: () -> Unit) {
            val calls = HashMap<Int, ClientCall>()
            var isOver = false
            fun call(number: Int) {
                if (isOver) return
                calls[number] = client.send(request(address), EndlessListener { call(number) })
            }
            loop.call { repeat(CONNECTIONS, ::call) }
            try {
                Thread.sleep(START_MS)
                action()
            } finally {
                loop.call {
                    isOver = true
                    calls.values.forEach { it.cancel() }
                }
            }
        }

        /** Keeps [CONNECTIONS] clients sending [head], and then [bytes], while [action] runs. */
        fun whileFlooded(head: String, bytes: String, action: () -> Unit) {
            val flooded = soundServer("ok".toByteArray())
            val isOver = AtomicBoolean()
            fun send() {
                Socket("127.0.0.1", flooded.port).use {
                    it.getOutputStream().write(head.toByteArray())
                    flood(it.getOutputStream(), bytes)
                }
            }
            repeat(CONNECTIONS) {
                thread(isDaemon = true) { while (!isOver.get()) runCatching(::send) }
            }
            try {
                Thread.sleep(START_MS)
                action()
            } finally {
                isOver.set(true)
                loop.call { flooded.stop() }
            }
        }

        describe("servers whose answers have no end") {
            val chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            val parts =
                mapOf(
                    "chunks of one byte" to (chunked to "1\r\na\r\n"),
                    "chunks of one byte with long sizes" to (chunked to "000000001\r\na\r\n"),
                    "bytes without a length" to ("HTTP/1.1 200 OK\r\n\r\n" to "\n"),
                    "empty lines in place of an answer" to ("" to "\r\n"),
                    "interim answers" to ("" to "HTTP/1.1 100 Continue\r\n\r\n")
                )
            parts.forEach { (name, answer) ->
                // Guards against requests of sound servers that are answered late because the
                // bytes of others take the whole time of the event loop (review case 10).
                it("take their share of the time only: $name") {
                    val sound = soundServer("ok".toByteArray())
                    whileCalling(endlessServer(answer.first, answer.second)) { checkServed(sound) }
                    sound.stop()
                }
            }
        }

        describe("clients whose requests have no end") {
            val parts =
                mapOf(
                    "chunks of one byte" to
                        (
                            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" to
                                "1\r\na\r\n"
                            ),
                    "short requests" to ("" to "GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
                    "empty lines" to ("" to "\r\n")
                )
            parts.forEach { (name, request) ->
                // Guards against the same on the side of the callers.
                it("take their share of the time only: $name") {
                    val sound = soundServer("ok".toByteArray())
                    whileFlooded(request.first, request.second) { checkServed(sound) }
                    sound.stop()
                }
            }
        }

        describe("a sound server's long answer") {
            // Guards against a bound on work that ends an answer, or loses bytes of it.
            it("arrives whole beside answers that have no end") {
                val body = ByteArray(LONG_BODY_BYTES) { (it % 251).toByte() }
                val sound = soundServer(body)
                val chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                whileCalling(endlessServer(chunked, "1\r\na\r\n")) {
                    val listener = CollectingListener()
                    get(Address("127.0.0.1", sound.port), listener)
                    listener.body.await().contentEquals(body) shouldBe true
                }
                sound.stop()
            }
        }
    })

/** Drops all that it receives, and calls [onEnd] at the end of the response. */
private class EndlessListener(private val onEnd: () -> Unit) : ClientListener {
    override fun onHead(status: Int, headers: List<HeaderField>) = Unit

    override fun onBody(part: ByteArray) = Unit

    override fun onComplete() = onEnd()

    override fun onFailure(failure: CallFailure) = onEnd()
}

private const val CONNECTIONS = 60
private const val REQUESTS = 20
private const val BLOCK_BYTES = 65_536
private const val BACKLOG = 100
private const val START_MS = 300L
private const val LONG_BODY_BYTES = 4_000_000

/** Clients get an answer within half a second of the limit of their route. */
private const val MAX_REQUEST_MS = 500L

/** A process that stands still for longer counts as paused. */
private const val MAX_TURN_MS = 150L
