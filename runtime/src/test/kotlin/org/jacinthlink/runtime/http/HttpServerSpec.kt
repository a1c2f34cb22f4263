package org.jacinthlink.runtime.http

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

class HttpServerSpec :
    DescribeSpec({
        val client = peerClient()
        val disconnected = CompletableFuture<Unit>()

        fun handle(request: Request): Response =
            when (request.uri.path) {
                "/push" -> Response(Status.OK).body(PushBody(::sendThreeLines))
                "/endless" ->
                    Response(Status.OK).body(
                        PushBody { sink ->
                            sink.onDisconnect { disconnected.complete(Unit) }
                            thread { while (sink.send("heartbeat\n")) Thread.sleep(50) }
                        }
                    )
                "/abort" -> Response(Status.OK).body(PushBody { it.abort() })
                "/crash" -> error("broken handler")
                else -> Response(Status.OK).body(request.bodyString())
            }

        val limits = ServerLimits(maxBodyBytes = 1_000)
        val server = startHttpServer("127.0.0.1", 0, limits, ::handle)
        val base = "http://127.0.0.1:${server.port}"
        afterSpec { server.stop() }

        describe("a plain answer") {
            it("returns the body that was sent") {
                val result = client.call(PeerCall("POST", "$base/echo", "hello"), 2_000)
                result.shouldBeInstanceOf<PeerResult.Answered>().body shouldBe "hello"
            }
            it("refuses a body over the limit with its code") {
                val call = PeerCall("POST", "$base/echo", "x".repeat(2_000))
                val result = client.call(call, 2_000, fresh = true)
                result.shouldBeInstanceOf<PeerResult.Answered>().status shouldBe 413
            }
            it("answers 500 when the handler throws, and goes on serving") {
                val result = client.call(PeerCall("GET", "$base/crash"), 2_000)
                result.shouldBeInstanceOf<PeerResult.Answered>().status shouldBe 500
                client.call(PeerCall("GET", "$base/ok"), 2_000)
                    .shouldBeInstanceOf<PeerResult.Answered>()
            }
        }

        describe("a pushed answer") {
            it("delivers each chunk when it is sent, not at the end") {
                val lines = TimedLines()
                client.stream(PeerCall("GET", "$base/push"), 1_000, lines)
                lines.ended.get(5, TimeUnit.SECONDS)
                lines.texts shouldBe listOf("0", "1", "2")
                (lines.timesMs[2] - lines.timesMs[0]) shouldBeGreaterThan 200L
            }
            it("reports a peer that goes away") {
                val lines = TimedLines()
                val call = client.stream(PeerCall("GET", "$base/endless"), 1_000, lines)
                lines.first.get(5, TimeUnit.SECONDS)
                call.cancel()
                disconnected.get(5, TimeUnit.SECONDS)
            }
        }

        describe("a pushed answer whose connection ends early") {
            // An exchange that never ends would count against the limit of open requests for good.
            val small = startHttpServer("127.0.0.1", 0, limits.copy(maxConnections = 2), ::handle)
            val url = "http://127.0.0.1:${small.port}"
            afterSpec { small.stop() }

            suspend fun acceptsCalls() =
                eventually(5.seconds) {
                    client.call(PeerCall("GET", "$url/ok"), 2_000)
                        .shouldBeInstanceOf<PeerResult.Answered>()
                        .status shouldBe 200
                }

            it("no longer counts as open after the peer went away") {
                repeat(4) {
                    val lines = TimedLines()
                    val call = client.stream(PeerCall("GET", "$url/endless"), 1_000, lines)
                    lines.first.get(5, TimeUnit.SECONDS)
                    call.cancel()
                }
                acceptsCalls()
            }
            it("no longer counts as open after it was aborted, and the caller gets no answer") {
                repeat(4) {
                    client.call(PeerCall("GET", "$url/abort"), 2_000)
                        .shouldBeInstanceOf<PeerResult.Unknown>()
                }
                acceptsCalls()
            }
        }

        describe("a call that fails") {
            it("is not sent when the connection is refused") {
                val port = ServerSocket(0).use { it.localPort }
                client.call(PeerCall("GET", "http://127.0.0.1:$port/"), 500)
                    .shouldBeInstanceOf<PeerResult.NotSent>()
            }
            it("is unknown when the peer accepts and stays silent") {
                ServerSocket(0).use { silent ->
                    val call = PeerCall("POST", "http://127.0.0.1:${silent.localPort}/", "x")
                    val startNs = System.nanoTime()
                    client.call(call, 300).shouldBeInstanceOf<PeerResult.Unknown>()
                    ((System.nanoTime() - startNs) / 1_000_000).toInt() shouldBeGreaterThan 200
                }
            }
        }
    })

private fun sendThreeLines(sink: PushSink) {
    thread {
        repeat(3) {
            sink.send("$it\n")
            Thread.sleep(150)
        }
        sink.close()
    }
}

private class TimedLines : LineListener {
    val texts = CopyOnWriteArrayList<String>()
    val timesMs = CopyOnWriteArrayList<Long>()
    val first = CompletableFuture<Unit>()
    val ended = CompletableFuture<Unit>()

    override fun onLine(line: String) {
        texts += line
        timesMs += System.currentTimeMillis()
        first.complete(Unit)
    }

    override fun onEnd() {
        ended.complete(Unit)
    }

    override fun onFailure(result: PeerResult) {
        ended.completeExceptionally(IllegalStateException(result.toString()))
    }
}
