package org.jacinthlink.transport

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.net.ServerSocket
import kotlin.concurrent.thread

/** A server that writes [parts] as the answer to each request, with a pause before each. */
private class PartsServer(
    private val parts: List<String>,
    private val pauseMs: Long = SHORT_PAUSE_MS
) : AutoCloseable {
    private val listening = ServerSocket(0)
    val address = Address("127.0.0.1", listening.localPort)

    init {
        thread(isDaemon = true) {
            while (!listening.isClosed) {
                val socket = runCatching { listening.accept() }.getOrNull() ?: return@thread
                thread(isDaemon = true) {
                    runCatching {
                        socket.tcpNoDelay = true
                        socket.getInputStream().read(ByteArray(READ_BYTES))
                        parts.forEach {
                            Thread.sleep(pauseMs)
                            socket.getOutputStream().write(it.toByteArray())
                        }
                    }
                }
            }
        }
    }

    override fun close() = listening.close()
}

class ShiftedResponseSpec :
    DescribeSpec({
        val loop = eventLoop("test")
        val client = httpClient(loop)

        afterSpec { loop.stop() }

        fun get(address: Address): RecordingListener {
            val headers = listOf(HeaderField("Host", "h"))
            val request = ClientRequest(address, "GET", "/", headers, ByteArray(0))
            return RecordingListener().also { loop.call { client.send(request, it) } }
        }

        fun outcome(vararg parts: String, pauseMs: Long = SHORT_PAUSE_MS): String =
            PartsServer(parts.toList(), pauseMs).use { get(it.address).outcome() }

        /** Lengths of the late response between [before] and [after] that were not noticed. */
        fun unnoticedLengths(before: String, after: String): List<Int> {
            val servers =
                (1..LATE.length).associateWith {
                    PartsServer(listOf(before, LATE.take(it), after))
                }
            val calls = servers.mapValues { get(it.value.address) }
            return calls.filterValues { it.outcome().endsWith("complete") }.keys.toList()
                .also { servers.values.forEach { server -> server.close() } }
        }

        // Guards against a body that is made of the bytes of two responses.
        describe("a late response that is cut at any byte, inside a response") {
            // At the length of the body, the surplus may come later, and nothing else shows it.
            it("is not taken for the beginning of a body with a length, but at that length") {
                (unnoticedLengths(HEAD, BODY) - BODY.length).shouldBeEmpty()
            }

            it("is not taken for a chunk") {
                unnoticedLengths(CHUNKED, "4\r\nbody\r\n0\r\n\r\n").shouldBeEmpty()
            }

            // Guards against a body that begins with another caller's answer (review case 8).
            it("is not taken for the data of a chunk") {
                val after = "$BODY\r\n0\r\n\r\n"
                unnoticedLengths("${CHUNKED}14\r\n", after).shouldBeEmpty()
            }
        }

        describe("a response that is followed by surplus bytes") {
            it("stands if they begin another response") {
                listOf(LATE, "H", "HTTP/1.1 2").forEach {
                    outcome(HEAD + BODY + it) shouldBe "500 $BODY complete"
                }
            }

            it("fails if they belong to no response") {
                listOf("\n", "surplus", "HTTP/2").forEach {
                    outcome(HEAD + BODY + it) shouldBe "500  MALFORMED_ANSWER"
                }
            }

            it("stands if it has no body") {
                val head = "HTTP/1.1 204 No Content\r\n\r\n"
                outcome(head + "surplus") shouldBe "204  complete"
            }

            it("stands if they come after a pause") {
                outcome(HEAD + BODY, "surplus", pauseMs = LONG_PAUSE_MS) shouldBe
                    "500 $BODY complete"
            }
        }
    })

private const val SHORT_PAUSE_MS = 20L

/** Longer than a read is delayed on a busy machine. */
private const val LONG_PAUSE_MS = 1_000L
private const val READ_BYTES = 4_096
private const val BODY = "a body of the answer"
private const val HEAD = "HTTP/1.1 500 Server Error\r\nContent-Length: 20\r\n\r\n"
private const val CHUNKED = "HTTP/1.1 500 Server Error\r\nTransfer-Encoding: chunked\r\n\r\n"
private const val LATE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
