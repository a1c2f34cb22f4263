package org.jacinthlink.transport

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/**
 * A server that stutters: it writes the first [length] bytes of a late response, while the
 * connection is idle or when the next request on it has arrived.
 */
private class StutteringServer(
    private val length: Int,
    private val isEarly: Boolean,
    private val lateResponse: String
) : AutoCloseable {
    private val listening = ServerSocket(0)
    val address = Address("127.0.0.1", listening.localPort)

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
        while (true) {
            val lines = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
            if (lines.isEmpty()) return
            val isFirst = lines.first().startsWith("GET /first")
            val cut = lateResponse.take(length).toByteArray()
            if (!isFirst && !isEarly) output.writeAfterPause(cut)
            if (isFirst) output.write(FIRST.toByteArray()) else output.writeAfterPause(SECOND)
            if (isFirst && isEarly) output.writeAfterPause(cut)
        }
    }

    override fun close() = listening.close()
}

private fun java.io.OutputStream.writeAfterPause(bytes: ByteArray) {
    Thread.sleep(PAUSE_MS)
    write(bytes)
}

class CutResponseSpec :
    DescribeSpec({
        val loop = eventLoop("test")
        val surplusBytes = ConcurrentHashMap<Address, Int>()
        val client = httpClient(loop) { server, byteCount -> surplusBytes[server] = byteCount }

        afterSpec { loop.stop() }

        fun request(address: Address, target: String, id: String? = null) =
            ClientRequest(
                address,
                "GET",
                target,
                listOf(HeaderField("Host", "h")),
                ByteArray(0),
                responseId = id?.let { ResponseId("Id", it) }
            )

        fun get(request: ClientRequest): RecordingListener =
            RecordingListener().also { loop.call { client.send(request, it) } }

        /** As [get], but stops reading from the network as soon as a body arrives. */
        fun getPaused(address: Address, target: String): RecordingListener {
            val recording = RecordingListener()
            lateinit var call: ClientCall
            val pausing =
                object : ClientListener by recording {
                    override fun onBody(part: ByteArray) {
                        call.setReading(false)
                        recording.onBody(part)
                    }
                }
            loop.call { call = client.send(request(address, target), pausing) }
            return recording
        }

        /** Outcomes of the second request at servers that cut a late response after each length. */
        fun outcomes(
            lengths: IntRange,
            isEarly: Boolean,
            late: String,
            id: String? = null
        ): Map<Int, String> {
            val servers = lengths.associateWith { StutteringServer(it, isEarly, late) }
            servers.values.map { get(request(it.address, "/first")) }
                .forEach { it.outcome() shouldBe "200 ok complete" }
            Thread.sleep(IDLE_MS)
            val second = servers.mapValues { get(request(it.value.address, "/second", id)) }
            val found = second.mapValues { it.value.outcome() }
            if (isEarly) servers.values.map { surplusBytes[it.address] } shouldBe lengths.toList()
            servers.values.forEach { it.close() }
            return found
        }

        fun shouldNotSucceed(outcomes: Map<Int, String>) =
            outcomes.forEach { (length, outcome) ->
                withClue("cut after $length bytes: $outcome") {
                    outcome.startsWith("200") shouldBe false
                }
            }

        describe("a late response that is whole") {
            // Guards against a response that lies unread on a connection which is used again.
            it("is not the next answer on a connection whose reading was paused") {
                val (_, head) = LATE_HEADS.entries.first()
                val late = head + BODY
                StutteringServer(late.length, isEarly = true, late).use { server ->
                    getPaused(server.address, "/first").outcome() shouldBe "200 ok complete"
                    Thread.sleep(IDLE_MS)
                    get(request(server.address, "/second")).outcome() shouldBe "500 no complete"
                }
            }
        }

        describe("a response without an id") {
            // Guards against an answer without an id that belongs to an earlier request.
            it("answers a request with an id only as the first one of its connection") {
                StutteringServer(0, isEarly = false, "").use { server ->
                    val first = request(server.address, "/first", "a")
                    get(first).outcome() shouldBe "200 ok complete"
                    get(first).outcome() shouldBe "0  OTHER_ANSWER"
                    get(first).outcome() shouldBe "200 ok complete"
                }
            }
        }

        describe("a late response that is cut") {
            LATE_HEADS.forEach { (framing, head) ->
                // Guards against a status that is taken from the beginning of another response.
                it("$framing, at any byte while the connection is idle, is never the next answer") {
                    val late = head + BODY
                    val found = outcomes(1..late.length, isEarly = true, late)
                    shouldNotSucceed(found)
                    found.values.toSet() shouldBe setOf("500 no complete")
                }

                it("$framing, at any byte of its head, is never joined with the next answer") {
                    shouldNotSucceed(outcomes(1 until head.length, isEarly = false, head))
                }

                // Guards against an answer without an id, or with another one, that is believed.
                it("$framing, at any byte, is never the answer to a request with an id") {
                    listOf("", "Id: a\r\n", "Id: b\r\nId: b\r\n").forEach { ids ->
                        val late = head.replaceFirst("X-Server", "${ids}X-Server") + BODY
                        shouldNotSucceed(outcomes(1..late.length, isEarly = false, late, "b"))
                    }
                }
            }
        }
    })

private const val PAUSE_MS = 10L
private const val IDLE_MS = 150L
private const val BODY = "stale"
private const val FIRST = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
private val SECOND =
    "HTTP/1.1 500 Server Error\r\nId: b\r\nX-Server: b\r\nContent-Length: 2\r\n\r\nno".toByteArray()

private val LATE_HEADS =
    mapOf(
        "with a length" to
            "HTTP/1.1 200 OK\r\nX-Server: a\r\nX-Folded: b\r\n c\r\nContent-Length: 5\r\n\r\n",
        "in chunks" to
            "HTTP/1.1 200 OK\r\nX-Server: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        "without a reason" to "HTTP/1.1 200 \r\nX-Server: a\r\nContent-Length: 5\r\n\r\n"
    )
