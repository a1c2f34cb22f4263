package org.jacinthlink.runtime.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.OutputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** When a stuttering server writes the beginning of a late response. */
private enum class LateTime { IDLE, NEXT_REQUEST, FIRST_REQUEST }

/** Writes the first [length] bytes of [lateResponse] at [lateTime], and answers all requests. */
private class StutteringPeer(
    private val length: Int,
    private val lateTime: LateTime,
    private val lateResponse: String
) : AutoCloseable {
    private val listening = ServerSocket(0)
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
            val isFirst = lines.first().startsWith("GET /first")
            val isLate = requests++ > 0 || lateTime == LateTime.FIRST_REQUEST
            if (!isFirst && isLate && lateTime != LateTime.IDLE) output.writeAfterPause(cut)
            if (isFirst) output.write(FIRST.toByteArray()) else output.writeAfterPause(SECOND)
            if (isFirst && lateTime == LateTime.IDLE) output.writeAfterPause(cut)
        }
    }

    override fun close() = listening.close()
}

private fun OutputStream.writeAfterPause(text: String) {
    Thread.sleep(PAUSE_MS)
    write(text.toByteArray())
}

class PeerCutResponseSpec :
    DescribeSpec({
        val client = peerClient()
        val callers = Executors.newFixedThreadPool(CALLERS)

        afterSpec {
            client.close()
            callers.shutdownNow()
        }

        fun call(url: String): String =
            when (val result = client.call(PeerCall("GET", url), TIMEOUT_MS)) {
                is PeerResult.Answered -> "${result.status} ${result.body}"
                is PeerResult.NotSent -> "not sent"
                is PeerResult.Unknown -> "unknown"
            }

        fun stream(url: String): String {
            val lines = RecordedStream()
            client.stream(PeerCall("GET", url), TIMEOUT_MS, lines)
            return lines.outcome.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        }

        /** Outcomes of the second request at servers that cut a late response after each length. */
        fun outcomes(
            lengths: IntRange,
            lateTime: LateTime,
            late: String,
            second: (String) -> String
        ): Map<Int, String> =
            lengths.associateWith { length ->
                CompletableFuture.supplyAsync(
                    {
                        StutteringPeer(length, lateTime, late).use { server ->
                            call("${server.url}/first") shouldBe "200 ok"
                            Thread.sleep(IDLE_MS)
                            second("${server.url}/second")
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
                    val found = outcomes(1..late.length, LateTime.IDLE, late, ::call)
                    found.values.toSet() shouldBe setOf("500 no")
                }

                it("$framing, at any byte of its head, is never joined with the next answer") {
                    shouldNotSucceed(
                        outcomes(1 until head.length, LateTime.NEXT_REQUEST, head, ::call)
                    )
                }

                it("$framing, at any byte of its head, is never joined with the next stream") {
                    val early = outcomes(1..head.length, LateTime.IDLE, head, ::stream)
                    early.values.toSet() shouldBe setOf("500 no")
                    val other = outcomes(1..head.length, LateTime.NEXT_REQUEST, head, ::stream)
                    other.values.toSet() shouldBe setOf("500 no")
                    shouldNotSucceed(
                        outcomes(1 until head.length, LateTime.FIRST_REQUEST, head, ::stream)
                    )
                }
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
private const val IDLE_MS = 60L
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
