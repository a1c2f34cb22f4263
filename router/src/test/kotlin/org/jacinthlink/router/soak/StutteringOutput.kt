package org.jacinthlink.router.soak

import java.io.ByteArrayOutputStream
import java.io.OutputStream
import kotlin.random.Random

/** Writes answers to one connection, and parts of its latest answer again. */
internal class StutteringOutput(private val output: OutputStream, private val random: Random) {
    private val latest = ByteArrayOutputStream()

    /** Writes one answer with [write]. */
    fun answer(write: (StutteringOutput) -> Unit) {
        latest.reset()
        write(this)
    }

    /**
     * Writes the latest answer again in one of [oneIn] cases, after a pause, whole or cut at any
     * byte.
     */
    fun stutter(oneIn: Int) {
        if (latest.size() == 0 || random.nextInt(oneIn) > 0) return
        Thread.sleep(random.nextLong(MAX_PAUSE_MS + 1))
        val isWhole = random.nextInt(WHOLE_ONE_IN) == 0
        val length = if (isWhole) latest.size() else random.nextInt(1, latest.size())
        output.write(latest.toByteArray(), 0, length)
    }

    /** Writes an answer with a length, or in one chunk. */
    fun respond(status: Int, fields: List<String>, body: String) {
        if (random.nextBoolean()) {
            write(head(status, fields + "Content-Length: ${body.length}") + body)
        } else {
            startChunks(status, fields)
            chunk(body)
            endChunks()
        }
    }

    fun startChunks(status: Int, fields: List<String>) =
        write(head(status, fields + "Transfer-Encoding: chunked"))

    fun chunk(text: String) {
        if (text.isNotEmpty()) write("${text.length.toString(16)}\r\n$text\r\n")
    }

    fun endChunks() = write("0\r\n\r\n")

    // Servers send the fields in any order, and with or without a reason.
    private fun head(status: Int, fields: List<String>): String {
        val reason = listOf("", "Reason").random(random)
        val lines = listOf("HTTP/1.1 $status $reason") + fields.shuffled(random)
        return lines.joinToString("\r\n", postfix = "\r\n\r\n")
    }

    private fun write(text: String) {
        val bytes = text.toByteArray()
        latest.write(bytes)
        output.write(bytes)
    }

    private companion object {
        const val WHOLE_ONE_IN = 4
        const val MAX_PAUSE_MS = 50L
    }
}
