package org.jacinthlink.router.soak

import java.io.BufferedReader
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.router.standins.RawServer

/** Runs a stuttering server with the instance id, availability zone, service and seed [args]. */
fun main(args: Array<String>) {
    val server = StutteringServer(args[0], args[1], args[2], args[3].toInt())
    println(server.entry)
    Thread.currentThread().join()
}

/** True if the server of a plain service answers a request with this id by a status of 500. */
internal fun isFailing(requestId: String): Boolean = requestId.hashCode().mod(FAILING_ONE_IN) == 0

/** The id and the status, as signature and body of a [StutteringServer] name them. */
internal fun answerName(requestId: String, status: Int) = "[$requestId $status]"

/**
 * A server that answers correctly, but writes an earlier answer of the connection again, whole or
 * cut: while the connection is idle, or when the next request has arrived.
 *
 * It prints a line for each request that it runs. Signatures, bodies and events name the request.
 */
private class StutteringServer(
    private val instanceId: String,
    private val zone: String,
    private val service: String,
    private val seed: Int
) {
    private val connectionCount = AtomicInteger()
    private val server = RawServer { socket -> socket.use(::serve) }

    @Volatile
    private var layers = LayerRange(0, LAYERS)

    /** Entry in the store, as one line of JSON. */
    val entry: String
        get() =
            """{"service":"$service","address":"${server.address}","zone":"$zone",""" +
                """"state":"ready","slots":134,"kind":"card","sequence":1,"born":1,""" +
                """"layers":{"from":${layers.from},"to":${layers.to},"version":1}}"""

    private fun serve(socket: Socket) {
        socket.tcpNoDelay = true
        val input = socket.getInputStream().bufferedReader()
        val number = seed * MAX_CONNECTIONS + connectionCount.getAndIncrement()
        val random = Random(number xor instanceId.hashCode())
        val output = StutteringOutput(socket.getOutputStream(), random)
        while (true) {
            val request = readRequest(input) ?: return
            output.stutter(LATE_ONE_IN)
            output.answer { respond(request, it) }
            output.stutter(IDLE_ONE_IN)
        }
    }

    private fun respond(request: RawRequest, output: StutteringOutput) {
        when {
            request.path == "/health" -> output.respond(200, emptyList(), "")
            request.path == "/v1/report" -> output.respond(200, emptyList(), report())
            request.path == "/v1/order" -> {
                layers = LayerRange(request.number("from"), request.number("to"))
                output.respond(202, emptyList(), "")
            }
            request.header("Expect-Instance") != instanceId ->
                output.respond(421, listOf("Attempt-Id: ${request.id}"), "")
            else -> run(request, output)
        }
    }

    private fun run(request: RawRequest, output: StutteringOutput) {
        println(request.head.joinToString("\t"))
        val isStream = request.header("Hop-Count") != null
        val status = if (!isStream && isFailing(request.id)) 500 else 200
        val name = answerName(request.id, status)
        val head = listOf("Attempt-Id: ${request.id}", "Response-Seal: seal-$instanceId $name")
        when {
            isStream -> stream(request, output, head)
            status == 200 -> output.respond(status, head, "ok:$name")
            else -> output.respond(status, head, "failed:$name")
        }
    }

    private fun stream(request: RawRequest, output: StutteringOutput, head: List<String>) {
        val last = request.header("Last-Event-Id")?.toIntOrNull() ?: 0
        output.startChunks(200, head)
        for (id in last + 1..STREAM_EVENTS) {
            Thread.sleep(EVENT_INTERVAL_MS)
            output.chunk("id: $id\ndata: t$id ${answerName(request.id, 200)}\n\n")
        }
        output.endChunks()
    }

    private fun report(): String =
        """{"busy":false,"kvTotal":1000,"sequence":1,"born":1,""" +
            """"layers":{"from":${layers.from},"to":${layers.to}}}"""

    private companion object {
        const val MAX_CONNECTIONS = 100_000

        /** One in this number of requests finds an earlier answer before its own. */
        const val LATE_ONE_IN = 8

        /** One in this number of answers is written again before the next request is read. */
        const val IDLE_ONE_IN = 3
        const val EVENT_INTERVAL_MS = 25L
    }
}

/** A request as its lines have been received. */
private class RawRequest(val head: List<String>, private val body: String) {
    val path: String = head.first().split(' ')[1]
    val id: String get() = header("Attempt-Id").orEmpty()

    fun header(name: String): String? =
        head.firstOrNull { it.startsWith("$name:", ignoreCase = true) }
            ?.substringAfter(':')?.trim()

    /** Number in the field [name] of the JSON body. */
    fun number(name: String): Int =
        Regex(""""$name":(\d+)""").find(body)!!.groupValues[1].toInt()
}

/** Reads one request, or returns null if the connection has ended. */
private fun readRequest(input: BufferedReader): RawRequest? {
    val head = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
    if (head.isEmpty()) return null
    val length = RawRequest(head, "").header("Content-Length")?.toInt() ?: 0
    return RawRequest(head, String(CharArray(length) { input.read().toChar() }))
}

/** One in this number of plain answers is a failure. */
private const val FAILING_ONE_IN = 7
