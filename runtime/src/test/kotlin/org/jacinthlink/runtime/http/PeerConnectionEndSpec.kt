package org.jacinthlink.runtime.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** What ends a response of a peer that has neither a length nor chunks. */
class PeerConnectionEndSpec :
    DescribeSpec({
        val client = peerClient()

        afterSpec { client.close() }

        /** Starts a server that reads the head of a request, answers, and then runs [after]. */
        fun server(after: (Socket) -> Unit): String {
            val listening = ServerSocket(0)
            thread(isDaemon = true) {
                val socket = listening.accept()
                socket.readHead()
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nok".toByteArray())
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
    })

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
