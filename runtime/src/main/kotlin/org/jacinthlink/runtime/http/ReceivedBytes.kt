package org.jacinthlink.runtime.http

import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.InputStream
import java.net.ProtocolException
import kotlin.math.min

/** Buffers what has arrived from [input], so that lines can be read from it. */
internal class ReceivedBytes(private val input: InputStream) {
    private val buffer = ByteArray(BUFFER_BYTES)
    private var start = 0
    private var end = 0

    /** True if no byte has arrived that was not read. */
    val isEmpty: Boolean get() = start == end && input.available() == 0

    /** Reads a line with its line end. Fails if it is longer than [maxBytes]. */
    fun readLine(maxBytes: Int): ByteArray {
        val line = ByteArrayOutputStream()
        while (line.size() < maxBytes) {
            if (start == end) fill()
            val byte = buffer[start++].toInt()
            line.write(byte)
            if (byte == LINE_FEED) return line.toByteArray()
        }
        throw ProtocolException("head, trailer or size of a chunk too long")
    }

    /** Reads up to [maxBytes] bytes, as [InputStream.read] does. */
    fun read(target: ByteArray, offset: Int, maxBytes: Int): Int {
        if (start == end) return input.read(target, offset, maxBytes)
        val count = min(maxBytes, end - start)
        buffer.copyInto(target, offset, start, start + count)
        start += count
        return count
    }

    private fun fill() {
        val count = input.read(buffer)
        if (count < 0) throw EOFException("the connection ended within a response")
        start = 0
        end = count
    }

    private companion object {
        const val BUFFER_BYTES = 8_192
        const val LINE_FEED = '\n'.code
    }
}
