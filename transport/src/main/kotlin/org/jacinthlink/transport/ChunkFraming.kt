package org.jacinthlink.transport

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpUtil
import io.netty.util.ReferenceCountUtil

/**
 * Checks that a line end follows the data of each chunk of a body.
 *
 * Netty drops whatever stands between the data and the next line feed. Bytes of another message
 * that come before the data would then take its place, and its own end would be lost unseen.
 */
internal class ChunkFraming {
    private enum class Part { NONE, SIZE, DATA, LINE_END }

    private var part = Part.NONE
    private var size = 0L
    private var hasSizeEnded = false

    /** Expects the body of [message], if it comes in chunks. */
    fun starts(message: HttpMessage) {
        startSize()
        if (!HttpUtil.isTransferEncodingChunked(message)) part = Part.NONE
    }

    /**
     * Takes the bytes of [buffer] between [from] and [to], which Netty has read as parts of the
     * body. Returns false if other bytes than a line end follow the data of a chunk.
     */
    fun takes(buffer: ByteBuf, from: Int, to: Int): Boolean {
        var next = from
        while (next < to && part != Part.NONE) {
            if (part == Part.DATA) {
                next += takeData(to - next)
            } else if (!take(buffer.getByte(next++))) {
                return false
            }
        }
        return true
    }

    private fun takeData(available: Int): Int {
        val taken = minOf(size, available.toLong())
        size -= taken
        if (size == 0L) part = Part.LINE_END
        return taken.toInt()
    }

    private fun take(byte: Byte): Boolean {
        if (part == Part.SIZE) {
            takeSize(byte)
            return true
        }
        if (byte == LINE_FEED) startSize()
        return byte == LINE_FEED || byte == CARRIAGE_RETURN
    }

    /** Netty has refused a size that is no number, or that is too large. */
    private fun takeSize(byte: Byte) {
        val digit = Character.digit(byte.toInt(), HEX)
        when {
            byte == LINE_FEED -> part = if (size == 0L) Part.NONE else Part.DATA
            byte in BLANKS && size == 0L -> Unit
            digit < 0 -> hasSizeEnded = true
            !hasSizeEnded -> size = size * HEX + digit
        }
    }

    private fun startSize() {
        part = Part.SIZE
        size = 0
        hasSizeEnded = false
    }

    private companion object {
        const val HEX = 16
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        val BLANKS = setOf(' '.code.toByte(), '\t'.code.toByte())
    }
}

/** Replaces all parts by the failed end of a body that [ChunkFraming] does not accept. */
internal fun MutableList<Any>.failChunk() {
    forEach(ReferenceCountUtil::release)
    clear()
    add(DefaultLastHttpContent().apply { decoderResult = UNFRAMED })
}

private val UNFRAMED: DecoderResult =
    DecoderResult.failure(IllegalArgumentException("no line end after a chunk"))
