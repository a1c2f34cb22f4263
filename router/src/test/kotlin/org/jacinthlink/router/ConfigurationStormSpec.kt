package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveAtLeastSize
import java.io.BufferedInputStream
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.configuration
import org.jacinthlink.router.standins.route

/** Requests under way, and in queues, while their routes, services, keys and limits change. */
class ConfigurationStormSpec :
    DescribeSpec({
        describe("requests on kept connections beside changes of the configuration") {
            // Guards against a whole request that gets neither an answer nor a refusal beside a
            // change of the configuration.
            listOf(0, 1).forEach { engines ->
                it("all get an answer or a refusal, with engines: ${engines == 1}") {
                    RouterFixture(eventCount = 20, eventIntervalMs = 30).use { fixture ->
                        fixture.awaitPaths()
                        fixture.plainServers.forEach { it.workMs = WORK_MS }
                        if (engines == 0) {
                            fixture.engines.forEach {
                                fixture.store.delete("servers/${it.instanceId}")
                            }
                        }
                        val endsAtNanos = System.nanoTime() + STORM_NANOS
                        val statuses = CopyOnWriteArrayList<Int>()
                        val faults = CopyOnWriteArrayList<String>()
                        val callers =
                            (0 until CALLERS).map { number ->
                                thread {
                                    val caller = KeptCaller(fixture, "c$number")
                                    while (System.nanoTime() < endsAtNanos) {
                                        val path = PATHS[number % PATHS.size]
                                        val status = caller.call(path)
                                        if (status == 0) faults.add(path) else statuses.add(status)
                                    }
                                }
                            }
                        var version = 1
                        while (System.nanoTime() < endsAtNanos) {
                            version++
                            fixture.store.write("op/config", changed(version))
                            Thread.sleep(CHANGE_MS)
                        }
                        callers.forEach { it.join() }
                        statuses shouldHaveAtLeastSize CALLERS
                        statuses shouldContain 200
                        faults.shouldBeEmpty()
                    }
                }
            }
        }
    })

/** A configuration that lacks, moves or splits what the one before it has. */
private fun changed(version: Int): String {
    val whole = configuration(version)
    return when (version % VARIANTS) {
        1 -> whole.replace("\"apiKeys\":[\"key\"]", "\"apiKeys\":[\"other\"]")
        2 -> whole.replace(route("once", "unsafe", "desk", 1), route("o", "unsafe", "desk", 1))
        3 -> whole.replace("\"service\":\"model\"", "\"service\":\"desk\"")
        4 -> whole.replace("{\"name\":\"desk\"}", "{\"name\":\"table\"}")
        5 -> whole.replace("\"timeoutMs\":3000", "\"timeoutMs\":900")
        6 -> whole.replace(
            "{\"version\"",
            "{\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4000," +
                "\"headerTimeoutMs\":1000,\"idleTimeoutMs\":500},\"version\""
        )
        else -> whole
    }
}

/** Sends one request after the other, on one connection while the router keeps it. */
private class KeptCaller(private val fixture: RouterFixture, private val name: String) {
    private var socket: Socket? = null
    private var input: BufferedInputStream? = null
    private var count = 0

    /** Status of the answer, which has a whole body; 0 if there is no whole answer. */
    fun call(path: String): Int {
        val open = socket ?: connect()
        count++
        open.getOutputStream().write(
            (
                "POST $path HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: $name-$count\r\n" +
                    "Request-Deadline: 2000\r\nApi-Key: key\r\nToken-Counts: 100,20\r\n" +
                    "Content-Length: 2\r\n\r\nhi"
                ).toByteArray()
        )
        return try {
            read()
        } catch (_: IOException) {
            socket = null
            0
        }
    }

    private fun connect(): Socket {
        val address = fixture.router.clientsAddress
        return Socket(address.host, address.port).also {
            it.soTimeout = 5_000
            socket = it
            input = BufferedInputStream(it.getInputStream())
        }
    }

    private fun read(): Int {
        val status = line().split(' ')[1].toInt()
        val headers = generateSequence { line().ifEmpty { null } }.map { it.lowercase() }.toList()
        val length = headers.firstOrNull { it.startsWith("content-length:") }
        if (length == null) readChunks() else readBytes(length.substringAfter(':').trim().toInt())
        if ("connection: close" in headers) socket = null
        return status
    }

    private fun readChunks() {
        do {
            val size = line().toInt(radix = 16)
            readBytes(size)
            line()
        } while (size > 0)
    }

    private fun readBytes(count: Int) {
        val read = checkNotNull(input).readNBytes(count)
        if (read.size < count) throw IOException("cut")
    }

    private fun line(): String {
        val text = StringBuilder()
        while (true) {
            val next = checkNotNull(input).read()
            if (next < 0) throw IOException("cut")
            if (next == '\n'.code) return text.toString().trimEnd()
            text.append(next.toChar())
        }
    }
}

private const val WORK_MS = 120L
private const val STORM_NANOS = 5_000_000_000L
private const val CHANGE_MS = 60L
private const val CALLERS = 12
private const val VARIANTS = 8
private val PATHS = listOf("/s/x", "/single/x", "/safe/x", "/once/x")
