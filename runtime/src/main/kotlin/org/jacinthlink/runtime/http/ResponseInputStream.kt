package org.jacinthlink.runtime.http

import java.io.ByteArrayOutputStream
import java.io.InputStream
import java.net.ProtocolException
import kotlin.math.min

/**
 * Input of a connection that hands out one response for each request, and no byte beyond it.
 *
 * Bytes that arrive between the end of a response and the next request belong to no request, so
 * the connection is not reusable any more. They would otherwise be taken for the next response, or
 * for its beginning.
 */
internal class ResponseInputStream(private val input: InputStream) : InputStream() {
    private val received = ReceivedBytes(input)
    private var part: ResponsePart = ResponsePart.Ended
    private var requests = 0
    private var answersHead = false
    private var interimResponses = 0

    // Text that was checked and not handed out yet.
    private var checked = ByteArray(0)
    private var checkedOffset = 0

    /** True if the last response has ended and nothing has arrived since. */
    val isReusable: Boolean get() = hasEnded && (requests == 0 || received.isEmpty)

    private val hasChecked: Boolean get() = checkedOffset < checked.size
    private val hasEnded: Boolean get() = part == ResponsePart.Ended && !hasChecked

    /** Notes that bytes of a request are sent. [isHead] is only used for the first ones. */
    fun requestSent(isHead: Boolean) {
        if (!hasEnded) return
        if (!isReusable) throw ProtocolException(SURPLUS)
        requests++
        answersHead = isHead
        interimResponses = 0
        part = ResponsePart.Head
    }

    override fun read(): Int {
        val single = ByteArray(1)
        return if (read(single, 0, 1) < 0) -1 else single[0].toUByte().toInt()
    }

    override fun read(target: ByteArray, offset: Int, length: Int): Int =
        when {
            length == 0 -> 0
            hasChecked -> readChecked(target, offset, length)
            else -> readPart(target, offset, length)
        }

    override fun close() = input.close()

    private fun readChecked(target: ByteArray, offset: Int, length: Int): Int {
        val count = min(length, checked.size - checkedOffset)
        checked.copyInto(target, offset, checkedOffset, checkedOffset + count)
        checkedOffset += count
        return count
    }

    private fun readPart(target: ByteArray, offset: Int, length: Int): Int =
        when (val current = part) {
            is ResponsePart.Framing -> {
                readFraming(current)
                readChecked(target, offset, length)
            }
            is ResponsePart.Counted -> readCounted(current, target, offset, length)
            ResponsePart.WithConnection -> received.read(target, offset, length)
            ResponsePart.Ended -> readSurplus()
        }

    private fun readFraming(framing: ResponsePart.Framing) =
        when (framing) {
            ResponsePart.Head -> readHead()
            ResponsePart.ChunkSize -> readChunkSize()
            ResponsePart.ChunkEnd -> readChunkEnd()
            ResponsePart.Trailer -> readTrailer()
        }

    private fun readSurplus(): Int {
        if (!received.isEmpty || input.read() >= 0) throw ProtocolException(SURPLUS)
        return -1
    }

    private fun readCounted(
        body: ResponsePart.Counted,
        target: ByteArray,
        offset: Int,
        length: Int
    ): Int {
        val count = received.read(target, offset, min(length.toLong(), body.leftBytes).toInt())
        if (count > 0) part = body.after(count)
        return count
    }

    private fun readHead() {
        val head = ResponseHead.parse(readLines())
        part =
            when (val bodyEnd = head.bodyEnd(answersHead)) {
                is BodyEnd.AfterLength -> counted(bodyEnd.bytes, ResponsePart.Ended)
                BodyEnd.AfterLastChunk -> ResponsePart.ChunkSize
                BodyEnd.WithConnection -> ResponsePart.WithConnection
            }
        if (!head.isInterim) return
        if (++interimResponses > MAX_INTERIM_RESPONSES) {
            throw ProtocolException("more than $MAX_INTERIM_RESPONSES interim responses")
        }
        part = ResponsePart.Head
    }

    private fun readChunkSize() {
        val line = check(received.readLine(MAX_LINE_BYTES))
        val size =
            CHUNK_SIZE.matchEntire(line)?.groupValues?.get(1)?.toLong(HEXADECIMAL)
                ?: throw ProtocolException("not the size of a chunk: $line")
        part =
            if (size == 0L) ResponsePart.Trailer else counted(size, ResponsePart.ChunkEnd)
    }

    private fun readChunkEnd() {
        val line = check(received.readLine(MAX_LINE_BYTES))
        if (line.isNotEmpty()) throw ProtocolException("a chunk is longer than its size")
        part = ResponsePart.ChunkSize
    }

    private fun readTrailer() {
        ResponseHead.checkTrailer(readLines(allowNone = true))
        part = ResponsePart.Ended
    }

    /** Reads the lines up to an empty one. */
    private fun readLines(allowNone: Boolean = false): List<String> {
        val lines = mutableListOf<String>()
        val bytes = ByteArrayOutputStream()
        while (true) {
            val line = received.readLine(MAX_HEAD_BYTES - bytes.size())
            bytes.write(line)
            val text = text(line)
            if (text.isEmpty()) break
            lines += text
        }
        if (lines.isEmpty() && !allowNone) throw ProtocolException("a head without a status line")
        check(bytes.toByteArray())
        return lines
    }

    /** Hands out [bytes] next, and returns them as text without a line end. */
    private fun check(bytes: ByteArray): String {
        checked = bytes
        checkedOffset = 0
        return text(bytes)
    }

    private fun text(line: ByteArray): String =
        String(line, Charsets.ISO_8859_1).removeSuffix("\n").removeSuffix("\r")

    private fun counted(bytes: Long, next: ResponsePart): ResponsePart =
        if (bytes == 0L) next else ResponsePart.Counted(bytes, next)

    private companion object {
        val CHUNK_SIZE = Regex("""([0-9a-fA-F]{1,15})[ \t]*(?:;.*)?""")
        const val SURPLUS = "bytes that belong to no request"
        const val HEXADECIMAL = 16
        const val MAX_LINE_BYTES = 8_192
        const val MAX_HEAD_BYTES = 256 * 1_024

        /** OkHttp awaits one more head than this. */
        const val MAX_INTERIM_RESPONSES = 1
    }
}

/** What of a response comes next on its connection. */
private sealed interface ResponsePart {
    /** Text that is checked before any of it is handed out. */
    sealed interface Framing : ResponsePart

    data object Head : Framing

    /** [leftBytes] bytes of a body or of a chunk, and then [next]. */
    data class Counted(val leftBytes: Long, val next: ResponsePart) : ResponsePart {
        fun after(count: Int): ResponsePart =
            if (leftBytes == count.toLong()) next else copy(leftBytes = leftBytes - count)
    }

    data object ChunkSize : Framing

    data object ChunkEnd : Framing

    data object Trailer : Framing

    /** Everything until the connection ends. */
    data object WithConnection : ResponsePart

    /** Nothing until the next request. */
    data object Ended : ResponsePart
}
