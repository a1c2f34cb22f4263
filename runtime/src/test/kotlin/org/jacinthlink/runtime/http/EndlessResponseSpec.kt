package org.jacinthlink.runtime.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Servers that send bytes that are no response, without end, until their caller closes. */
class EndlessResponseSpec :
    DescribeSpec({
        val client = peerClient()

        afterSpec { client.close() }

        /**
         * Starts a server that sends [start] and then [part] until its caller closes. It stops
         * after [MAX_SENT_BYTES], so that a caller that keeps them all does not end the tests.
         */
        fun endless(start: String, part: String): String {
            val listening = ServerSocket(0)
            val bytes = part.repeat(PARTS_PER_WRITE).toByteArray()
            thread(isDaemon = true) {
                val socket = listening.accept()
                try {
                    socket.getOutputStream().write(start.toByteArray())
                    repeat(MAX_SENT_BYTES / bytes.size) { socket.getOutputStream().write(bytes) }
                } catch (_: IOException) {
                    socket.close()
                }
            }
            return "http://127.0.0.1:${listening.localPort}/"
        }

        fun call(url: String): PeerResult = client.call(PeerCall("GET", url), TIMEOUT_MS)

        fun stream(url: String): PeerResult {
            val end = CompletableFuture<PeerResult>()
            val listener =
                object : LineListener {
                    override fun onStart(status: Int, headers: Map<String, String>) = Unit

                    override fun onLine(line: String) = Unit

                    override fun onEnd() {
                        end.complete(PeerResult.Unknown("ended"))
                    }

                    override fun onFailure(result: PeerResult) {
                        end.complete(result)
                    }
                }
            client.stream(PeerCall("GET", url), TIMEOUT_MS, listener)
            return end.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        }

        fun PeerResult.isTooLarge() = this is PeerResult.Unknown && "too" in message

        describe("bytes without end") {
            // Guards against a process that runs out of memory because of one faulty server.
            it("in a body fail a call") {
                call(endless("$HEAD\r\n", "abcdefgh")).isTooLarge() shouldBe true
            }

            it("in a line fail a stream") {
                stream(endless("$HEAD\r\n", "abcdefgh")).isTooLarge() shouldBe true
            }

            it("in a head fail a call") {
                (call(endless(HEAD, "X-Long: header\r\n")) is PeerResult.Unknown) shouldBe true
            }
        }
    })

private const val HEAD = "HTTP/1.1 200 OK\r\n"
private const val PARTS_PER_WRITE = 1_024
private const val MAX_SENT_BYTES = 64 * 1_024 * 1_024
private const val TIMEOUT_MS = 5_000L
