package org.jacinthlink.router.standins

import java.io.BufferedReader
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/**
 * A server for tests of responses that no HTTP library would send. Each connection is passed to
 * [serve] on its own thread.
 */
internal class RawServer(private val serve: (Socket) -> Unit) : AutoCloseable {
    private val listening = ServerSocket(0)

    /** `IP:PORT` on which the server listens. */
    val address = "127.0.0.1:${listening.localPort}"

    init {
        thread(isDaemon = true) {
            while (!listening.isClosed) {
                val socket = runCatching { listening.accept() }.getOrNull() ?: return@thread
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    /** Entry in the store, as of an engine with all layers, or of a server of a plain service. */
    fun entry(service: String): String =
        """{"service":"$service","address":"$address","zone":"a","state":"ready",
        "slots":134,"kind":"card","sequence":1,"born":1,
        "layers":{"from":0,"to":8,"version":1}}"""

    override fun close() = listening.close()
}

/**
 * Response to a request for a report, as of an engine with all layers and memory for
 * [memoryTokens].
 */
internal fun reportResponse(instanceId: String, memoryTokens: Int = 1_000): String {
    val report =
        """{"busy":false,"kvTotal":$memoryTokens,"sequence":1,"born":1,
        "layers":{"from":0,"to":8}}"""
    return "HTTP/1.1 200 OK\r\nInstance: $instanceId\r\n" +
        "Content-Length: ${report.length}\r\n\r\n$report"
}

/** Reads one request and returns the lines of its head; null if the connection has ended. */
internal fun readRequestHead(input: BufferedReader): List<String>? {
    val lines = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
    val length =
        lines.firstOrNull { it.startsWith("content-length", true) }
            ?.substringAfter(':')?.trim()?.toInt() ?: 0
    repeat(length) { input.read() }
    return lines.ifEmpty { null }
}

/** The request id in the lines of a head, or null if there is none. */
internal fun requestIdIn(head: List<String>): String? =
    head.firstOrNull { it.startsWith("Attempt-Id") }?.substringAfter(": ")
