package org.jacinthlink.transport

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** What ends a response that has neither a length nor chunks. */
class ConnectionEndSpec :
    DescribeSpec({
        val loop = eventLoop("test")
        val client = httpClient(loop)

        afterSpec { loop.stop() }

        /** Starts a server that reads the head of a request, answers, and then runs [after]. */
        fun server(after: (Socket) -> Unit): Address {
            val listening = ServerSocket(0)
            thread(isDaemon = true) {
                val socket = listening.accept()
                socket.readHead()
                socket.getOutputStream().write(ANSWER.toByteArray())
                after(socket)
            }
            return Address("127.0.0.1", listening.localPort)
        }

        fun post(address: Address, bodyBytes: Int): RecordingListener {
            val listener = RecordingListener()
            val headers = listOf(HeaderField("Host", "h"))
            val request = ClientRequest(address, "POST", "/", headers, ByteArray(bodyBytes))
            loop.call { client.send(request, listener) }
            return listener
        }

        describe("a response without a length") {
            // Guards against a truncated response that is taken as complete after a reset that a
            // write has noticed.
            it("fails when the connection is reset while the request is sent") {
                val address = server {
                    Thread.sleep(SETTLE_MS)
                    it.setSoLinger(true, 0)
                    it.close()
                }
                post(address, LONG_BODY_BYTES).outcome() shouldBe "200 ok CONNECTION_LOST"
            }

            // Guards against a server that ends early, without a reset, and looks as if it had
            // finished.
            it("fails when the connection is closed before the request is sent") {
                val address = server {
                    Thread.sleep(SETTLE_MS)
                    it.shutdownOutput()
                }
                post(address, LONG_BODY_BYTES).outcome() shouldBe "200 ok CONNECTION_LOST"
            }

            // Guards against a server that ends early and whose reset is hidden by the close before
            // it: the system closes both directions of the connection one after the other.
            it("fails when the server closes the connection without having read the request") {
                val address = server {
                    Thread.sleep(SETTLE_MS)
                    it.close()
                }
                post(address, SHORT_BODY_BYTES).outcome() shouldBe "200 ok CONNECTION_LOST"
            }

            // Guards against a truncated response that is taken as complete when this process
            // closes its connections.
            it("fails when the event loop of this process stops") {
                val ending = eventLoop("ending")
                val endingClient = httpClient(ending)
                val listener = RecordingListener()
                val address = server { Thread.sleep(STAYS_OPEN_MS) }
                val headers = listOf(HeaderField("Host", "h"))
                val request = ClientRequest(address, "POST", "/", headers, ByteArray(2))
                ending.call { endingClient.send(request, listener) }
                Thread.sleep(SETTLE_MS)
                ending.stop()
                listener.outcome() shouldNotBe "200 ok complete"
            }

            it("is complete when the server reads the whole request and closes") {
                val address = server {
                    Thread.sleep(SETTLE_MS)
                    it.getInputStream().readNBytes(LONG_BODY_BYTES)
                    it.close()
                }
                post(address, LONG_BODY_BYTES).outcome() shouldBe "200 ok complete"
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

private const val ANSWER = "HTTP/1.1 200 OK\r\n\r\nok"

/** More than the buffers of a loopback connection hold. */
private const val LONG_BODY_BYTES = 16 * 1_024 * 1_024

/** Less than the buffers of any connection hold. */
private const val SHORT_BODY_BYTES = 1_024

/** Time for what has been sent to arrive and be processed. */
private const val SETTLE_MS = 200L
private const val STAYS_OPEN_MS = 10_000L
