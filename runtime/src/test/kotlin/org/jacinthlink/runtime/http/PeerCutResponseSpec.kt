package org.jacinthlink.runtime.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.io.OutputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.Headers

/** When a stuttering server writes the beginning of a late response. */
private enum class LateTime { IDLE, NEXT_REQUEST, FIRST_REQUEST }

/**
 * Writes the first [length] bytes of [lateResponse] at [lateTime], and answers all requests. The
 * responses repeat the id of their call if [repeatsIds].
 */
private class StutteringPeer(
    private val length: Int,
    private val lateTime: LateTime,
    private val lateResponse: String,
    private val repeatsIds: Boolean = false
) : AutoCloseable {
    private val listening = ServerSocket(0)
    private val idle = CountDownLatch(1)
    val url = "http://127.0.0.1:${listening.localPort}"

    init {
        thread(isDaemon = true) {
            while (!listening.isClosed) {
                val socket = runCatching { listening.accept() }.getOrNull() ?: return@thread
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    private fun serve(socket: Socket) {
        socket.tcpNoDelay = true
        val input = socket.getInputStream().bufferedReader()
        val output = socket.getOutputStream()
        var requests = 0
        while (true) {
            val lines = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
            if (lines.isEmpty()) return
            val cut = lateResponse.take(length)
            val ids = lines.filter { repeatsIds && it.startsWith(Headers.CALL_ID) }
            val isFirst = lines.first().startsWith("GET /first")
            val isLate = requests++ > 0 || lateTime == LateTime.FIRST_REQUEST
            if (!isFirst && isLate && lateTime != LateTime.IDLE) output.writeAfterPause(cut)
            if (!isFirst) Thread.sleep(PAUSE_MS)
            output.write((if (isFirst) FIRST else SECOND).withFields(ids).toByteArray())
            if (isFirst && lateTime == LateTime.IDLE) output.writeAfterPause(cut)
            idle.countDown()
        }
    }

    /** Waits until everything has been written that arrives before the second request. */
    fun awaitIdle() = idle.await()

    override fun close() = listening.close()
}

private fun String.withFields(lines: List<String>): String =
    replaceFirst("\r\n", lines.joinToString("", "\r\n") { "$it\r\n" })

private fun OutputStream.writeAfterPause(text: String) {
    Thread.sleep(PAUSE_MS)
    write(text.toByteArray())
}

class PeerCutResponseSpec :
    DescribeSpec({
        val callers = Executors.newFixedThreadPool(CALLERS)

        afterSpec { callers.shutdownNow() }

        fun PeerClient.outcomeOfCall(url: String): String =
            when (val result = call(PeerCall("GET", url), TIMEOUT_MS)) {
                is PeerResult.Answered -> "${result.status} ${result.body}"
                is PeerResult.NotSent -> "not sent"
                is PeerResult.Unknown -> "unknown"
            }

        fun PeerClient.outcomeOfStream(url: String): String {
            val lines = RecordedStream()
            stream(PeerCall("GET", url), TIMEOUT_MS, lines)
            return lines.outcome.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        }

        // A client of its own for each server: a failed call closes the connections to all others.
        fun secondOutcome(
            server: StutteringPeer,
            hasCallIds: Boolean,
            second: PeerClient.(String) -> String
        ): String {
            val client = peerClient(hasCallIds)
            try {
                client.outcomeOfCall("${server.url}/first") shouldBe "200 ok"
                server.awaitIdle()
                return client.second("${server.url}/second")
            } finally {
                client.close()
            }
        }

        /** Outcomes of the second request at servers that cut a late response after each length. */
        fun outcomes(
            lengths: IntRange,
            lateTime: LateTime,
            late: String,
            hasCallIds: Boolean = false,
            second: PeerClient.(String) -> String = PeerClient::outcomeOfCall
        ): Map<Int, String> =
            lengths.associateWith { length ->
                CompletableFuture.supplyAsync(
                    {
                        StutteringPeer(length, lateTime, late, hasCallIds).use {
                            secondOutcome(it, hasCallIds, second)
                        }
                    },
                    callers
                )
            }.mapValues { it.value.get() }

        fun shouldNotSucceed(outcomes: Map<Int, String>) {
            val successes = outcomes.filterValues { it.startsWith("200") }
            withClue("successes by the length of the cut: $successes") {
                successes.isEmpty() shouldBe true
            }
        }

        describe("a late response that is cut") {
            LATE_HEADS.forEach { (framing, head) ->
                // Guards against a status that is taken from the beginning of another response.
                it("$framing, at any byte while the connection is idle, is never the next answer") {
                    val late = head + BODY
                    val found = outcomes(1..late.length, LateTime.IDLE, late)
                    found.values.toSet() shouldBe setOf("500 no")
                }

                it("$framing, at any byte of its head, is never joined with the next answer") {
                    shouldNotSucceed(
                        outcomes(1 until head.length, LateTime.NEXT_REQUEST, head)
                    )
                }

                it("$framing, at any byte of its head, is never joined with the next stream") {
                    fun streams(lateTime: LateTime) =
                        outcomes(1 until head.length, lateTime, head) { outcomeOfStream(it) }
                    streams(LateTime.IDLE).values.toSet() shouldBe setOf("500 no")
                    streams(LateTime.NEXT_REQUEST).values.toSet() shouldBe setOf("500 no")
                    shouldNotSucceed(streams(LateTime.FIRST_REQUEST))
                }

                // Guards against a response to another call that is believed.
                it("$framing, at any byte, is never the answer to a call with an id") {
                    listOf(emptyList(), listOf("${Headers.CALL_ID}: other")).forEach { ids ->
                        val late = head.withFields(ids) + BODY
                        shouldNotSucceed(
                            outcomes(
                                1..late.length,
                                LateTime.NEXT_REQUEST,
                                late,
                                hasCallIds = true
                            )
                        )
                    }
                }
            }
        }

        describe("a response with a version and an address in a field") {
            // Guards against a sound answer that is taken for two joined ones.
            it("is an answer") {
                ServerSocket(0).use { server ->
                    thread(isDaemon = true) {
                        server.accept().apply {
                            getInputStream().read()
                            getOutputStream().write(VIA_ADDRESS.toByteArray())
                        }
                    }
                    val client = peerClient()
                    client.outcomeOfCall("http://127.0.0.1:${server.localPort}/") shouldBe "200 ok"
                    client.close()
                }
            }
        }

        describe("a server that repeats no ids") {
            // Guards against a second call to it that reads a late response to the first one.
            it("gets each call over a new connection") {
                val late = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n$BODY"
                StutteringPeer(late.length, LateTime.NEXT_REQUEST, late).use { server ->
                    secondOutcome(server, hasCallIds = true) {
                        outcomeOfCall(it)
                    } shouldBe "500 no"
                }
            }
        }

        describe("a server of the system") {
            it("repeats the id of each call") {
                val server =
                    startHttpServer("127.0.0.1", 0, ServerLimits()) {
                        Response(Status.OK).header(Headers.CALL_ID, "of a backend server")
                    }
                val client = peerClient()
                val headers = mapOf(Headers.CALL_ID to "id")
                val call = PeerCall("GET", "http://127.0.0.1:${server.port}/", null, headers)
                val result = client.call(call, TIMEOUT_MS)
                client.close()
                server.stop()
                result.shouldBeInstanceOf<PeerResult.Answered>()
                    .headers.headerValue(Headers.CALL_ID) shouldBe "id"
            }
        }
    })

/** Status and text of a stream that has ended as complete, or "unknown". */
private class RecordedStream : LineListener {
    private val text = StringBuilder()
    val outcome = CompletableFuture<String>()

    override fun onStart(status: Int, headers: Map<String, String>) {
        text.append(status).append(' ')
    }

    override fun onLine(line: String) {
        text.append(line)
    }

    override fun onEnd() {
        outcome.complete(text.toString())
    }

    override fun onFailure(result: PeerResult) {
        outcome.complete("unknown")
    }
}

private const val CALLERS = 16
private const val PAUSE_MS = 10L
private const val TIMEOUT_MS = 5_000L
private const val BODY = "stale"
private const val FIRST = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
private const val SECOND =
    "HTTP/1.1 500 Server Error\r\nX-Server: b\r\nContent-Length: 2\r\n\r\nno"

private val LATE_HEADS =
    mapOf(
        "with a length" to
            "HTTP/1.1 200 OK\r\nX-Server: a\r\nX-Folded: b\r\n c\r\nContent-Length: 5\r\n\r\n",
        "in chunks" to "HTTP/1.1 200 OK\r\nX-Server: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        "without a reason" to "HTTP/1.1 200 \r\nX-Server: a\r\nContent-Length: 5\r\n\r\n"
    )

private const val VIA_ADDRESS =
    "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 192.0.2.1\r\nContent-Length: 2\r\n\r\nok"
