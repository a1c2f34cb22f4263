package org.jacinthlink.router

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import org.jacinthlink.router.standins.RawServer
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.readRequestHead
import org.jacinthlink.router.standins.reportResponse
import org.jacinthlink.router.standins.requestIdIn

/** Kind of route, and the answer of its server to the request with an id. */
private class CutCase(
    val name: String,
    val path: String,
    val service: String,
    val answer: (id: String) -> String
) {
    val method = if (service == "desk") "GET" else "POST"

    /** Requests that may run once come on new connections only, which are used once. */
    val runsOnce = path == ONCE || path == SINGLE

    /** What a caller gets if the answer reaches it unchanged. */
    fun callersAnswer(id: String) = parse(answer(id))
}

private data class CallersAnswer(
    val status: Int,
    val ids: List<String>,
    val seals: List<String>,
    val body: String,
    val isWhole: Boolean
)

/**
 * A server that stutters. The request `first-N` is answered; the first N bytes of that answer come
 * once more, while its connection is idle or when the next request is on it.
 */
private class CutServer(
    private val instanceId: String,
    private val case: CutCase,
    private val isEarly: Boolean
) : AutoCloseable {
    private val server = RawServer(::serve)
    val received: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val cutCount = AtomicInteger()
    val entry = server.entry(case.service)

    private fun serve(socket: Socket) {
        socket.tcpNoDelay = true
        val input = socket.getInputStream().bufferedReader()
        val output = socket.getOutputStream()
        var late: String? = null
        while (true) {
            val id = requestIdIn(readRequestHead(input) ?: return)
            if (id == null) {
                output.write(reportResponse(instanceId, ENGINE_TOKENS).toByteArray())
            } else {
                received.add(id)
                output.writeLate(late)
                // All requests of a round are open at the same time, each on its own connection.
                Thread.sleep(GATHER_MS)
                output.write(case.answer(id).toByteArray())
                val cut = id.removePrefix(FIRST).toIntOrNull()?.let { case.answer(id).take(it) }
                if (isEarly) output.writeLate(cut) else late = cut
            }
        }
    }

    private fun OutputStream.writeLate(cut: String?) {
        if (cut == null) return
        cutCount.incrementAndGet()
        Thread.sleep(PAUSE_MS)
        write(cut.toByteArray())
    }

    override fun close() = server.close()
}

class CutAnswerSpec :
    DescribeSpec({
        val callers = Executors.newFixedThreadPool(ROUND)

        afterSpec { callers.shutdownNow() }

        val fixture by lazy {
            RouterFixture().apply {
                awaitLayers()
                (engines + plainServers).forEach { store.delete("servers/${it.instanceId}") }
            }
        }
        var serverCount = 0

        afterSpec { fixture.close() }

        fun answers(case: CutCase, ids: List<String>): Map<String, CallersAnswer> =
            ids.map { callers.submit<String> { fixture.call(case.path, it, case.method) } }
                .map { parse(it.get(10, TimeUnit.SECONDS)) }
                .let { ids.zip(it).toMap() }

        /** Answers of one round of requests that are neither those of the server nor failures. */
        fun wrongAnswers(case: CutCase, server: CutServer, lengths: List<Int>) =
            lengths.map { "$it".padStart(3, '0') }.let { suffixes ->
                answers(case, suffixes.map { FIRST + it })
                Thread.sleep(IDLE_MS)
                answers(case, suffixes.map { SECOND + it })
                    .filterNot { (id, it) -> case.allows(id, it, id in server.received) }
                    .toList()
            }

        fun wrongAnswers(case: CutCase, isEarly: Boolean): List<Pair<String, CallersAnswer>> {
            val instanceId = "cutting-${serverCount++}"
            return CutServer(instanceId, case, isEarly).use { server ->
                fixture.store.write("servers/$instanceId", server.entry)
                Thread.sleep(SERVER_KNOWN_MS)
                val lengths = 1..case.answer(FIRST + "000").length
                val wrong = lengths.chunked(ROUND).flatMap { wrongAnswers(case, server, it) }
                if (isEarly || !case.runsOnce) server.cutCount.get() shouldBeGreaterThan 0
                fixture.store.delete("servers/$instanceId")
                wrong
            }
        }

        describe("a late answer that is cut at any byte") {
            CASES.forEach { case ->
                listOf(
                    true to "an idle connection",
                    false to "the next request"
                ).forEach { (isEarly, place) ->
                    // Guards against a success for a request that the server answered with 500.
                    it("on $place is no part of the answer to ${case.name}") {
                        val wrong = wrongAnswers(case, isEarly)
                        withClue("${wrong.size} wrong answers") { wrong.shouldBeEmpty() }
                    }
                }
            }
        }
    })

private fun CutCase.allows(id: String, found: CallersAnswer, hasRun: Boolean): Boolean {
    val expected = callersAnswer(id)
    return when {
        found == expected -> true
        found.seals.isEmpty() -> found.status in FAILURES || found.status == 503 && !hasRun
        else ->
            !found.isWhole &&
                expected.body.startsWith(found.body) &&
                found.copy(body = expected.body, isWhole = true) == expected
    }
}

private fun parse(response: String): CallersAnswer {
    val head = response.substringBefore("\r\n\r\n")
    val rest = response.substringAfter("\r\n\r\n", "")
    fun values(name: String) =
        Regex("(?i)^$name: (.*?)\r?$", RegexOption.MULTILINE).findAll(head)
            .map { it.groupValues[1] }.toList()
    val length = values("content-length").firstOrNull()?.toInt()
    val (body, isWhole) = if (length != null) rest to (rest.length == length) else chunks(rest)
    return CallersAnswer(
        head.split(' ').getOrNull(1)?.toIntOrNull() ?: 0,
        values("attempt-id"),
        values("response-seal"),
        body,
        isWhole
    )
}

private fun chunks(text: String): Pair<String, Boolean> {
    var left = text
    val body = StringBuilder()
    while (true) {
        val size = left.substringBefore("\r\n").toIntOrNull(16) ?: return "$body" to false
        if (size == 0) return "$body" to true
        left = left.substringAfter("\r\n")
        body.append(left.take(size))
        left = left.drop(size + 2)
    }
}

private fun plain(status: String, id: String) = "body of $id".let {
    "HTTP/1.1 $status\r\nAttempt-Id: $id\r\nResponse-Seal: seal-$id\r\n" +
        "Content-Length: ${it.length}\r\n\r\n$it"
}

private fun stream(id: String): String {
    val events = (1..3).map { "id: $it\ndata: $id\n\n" }
    return "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nResponse-Seal: seal-$id\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n" +
        events.joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" } + "0\r\n\r\n"
}

/** First requests succeed, so that a cut answer promises a success. */
private fun plainAnswer(id: String) =
    plain(if (id.startsWith(FIRST)) "200 OK" else "500 Server Error", id)

private const val FIRST = "first-"
private const val SECOND = "second-"
private const val ONCE = "/once/x"
private const val SINGLE = "/single/x"
private val CASES =
    listOf(
        CutCase("an idempotent request", "/safe/x", "desk", ::plainAnswer),
        CutCase("a request that may run once", ONCE, "desk", ::plainAnswer),
        CutCase("an idempotent stream", "/s/x", "model", ::stream),
        CutCase("a stream that may run once", SINGLE, "model", ::stream)
    )
private val FAILURES = setOf(0, 502, 504)
private const val PAUSE_MS = 10L
private const val GATHER_MS = 80L
private const val IDLE_MS = 100L
private const val SERVER_KNOWN_MS = 1_500L

/** Requests at a time; fewer than the idle connections that a router keeps to one server. */
private const val ROUND = 50

/** Memory of an engine for a round of streams. */
private const val ENGINE_TOKENS = 9_000
