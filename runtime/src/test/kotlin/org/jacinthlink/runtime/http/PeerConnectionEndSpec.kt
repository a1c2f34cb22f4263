package org.jacinthlink.runtime.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** What of a peer counts as a response, and what ends one without a length. */
class PeerConnectionEndSpec :
    DescribeSpec({
        val client = peerClient()

        afterSpec { client.close() }

        /** Starts a server that reads the head of a request, answers, and then runs [after]. */
        fun server(status: String = "200 OK", after: (Socket) -> Unit): String {
            val listening = ServerSocket(0)
            thread(isDaemon = true) {
                val socket = listening.accept()
                socket.readHead()
                socket.getOutputStream().write("HTTP/1.1 $status\r\n\r\nok".toByteArray())
                after(socket)
            }
            return "http://127.0.0.1:${listening.localPort}/"
        }

        fun post(url: String): PeerResult =
            client.call(PeerCall("POST", url, "x".repeat(LONG_BODY_BYTES)), TIMEOUT_MS)

        describe("a response without a length") {
            // Guards against a truncated response that is taken as complete after a reset.
            it("fails when the connection is reset while the request is sent") {
                val url = server {
                    Thread.sleep(SETTLE_MS)
                    it.setSoLinger(true, 0)
                    it.close()
                }
                post(url).shouldBeInstanceOf<PeerResult.Unknown>()
            }

            it("is complete when the server reads the whole request and closes") {
                val url = server {
                    it.getInputStream().readNBytes(LONG_BODY_BYTES)
                    it.close()
                }
                post(url).shouldBeInstanceOf<PeerResult.Answered>()
            }
        }

        describe("a status that HTTP does not have") {
            // Guards against callers that get bytes that are no response in the protocol.
            it("fails a call") {
                listOf("000 Unknown", "099 Low", "600 High", "101 Switching").forEach { status ->
                    val url = server(status) { it.close() }
                    val result = client.call(PeerCall("GET", url), TIMEOUT_MS)
                    withClue(status) { result.shouldBeInstanceOf<PeerResult.Unknown>() }
                }
            }

            it("fails a stream") {
                val listener = RecordingLines()
                val url = server("000 Unknown") { it.close() }
                client.stream(PeerCall("GET", url), TIMEOUT_MS, listener)
                listener.failure.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .shouldBeInstanceOf<PeerResult.Unknown>()
                listener.hasStarted shouldBe false
            }
        }
    })

private class RecordingLines : LineListener {
    val failure = CompletableFuture<PeerResult>()
    var hasStarted = false

    override fun onStart(status: Int, headers: Map<String, String>) {
        hasStarted = true
    }

    override fun onLine(line: String) = Unit

    override fun onEnd() {
        failure.completeExceptionally(AssertionError("the stream has ended as complete"))
    }

    override fun onFailure(result: PeerResult) {
        failure.complete(result)
    }
}

private fun Socket.readHead() {
    val input = getInputStream()
    var newlines = 0
    while (newlines < 2) {
        when (input.read()) {
            '\n'.code -> newlines++
            '\r'.code -> Unit
            else -> newlines = 0
        }
    }
}

/** More than the buffers of a loopback connection hold. */
private const val LONG_BODY_BYTES = 16 * 1_024 * 1_024

/** Time for what has been sent to arrive and be processed. */
private const val SETTLE_MS = 200L
private const val TIMEOUT_MS = 10_000L
