package org.jacinthlink.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AsciiString
import io.netty.util.ReferenceCountUtil

/**
 * Decodes the responses of one connection, each of which answers one request.
 *
 * All bytes between two requests are surplus, and close the connection at once: the beginning of a
 * late response would otherwise be joined with the next one. A response is also rejected if its
 * status line is not one of HTTP/1, if a line of its head or trailer is no field, or if a second
 * status line follows before its head or trailer has ended. Netty accepts most of that.
 *
 * Bytes of a late response may also stand before the data of a chunk, whose end is then not where
 * the chunk ends ([ChunkFraming]).
 *
 * Bytes of a late response may also stand before the body, whose own end then follows as surplus.
 * So a response with a body is rejected if the bytes that arrive together with its end do not begin
 * another response. A surplus that arrives later cannot be awaited without delaying each response.
 *
 * @param onSurplus Called with the number of surplus bytes before they are dropped.
 */
internal class StrictResponseDecoder(private val onSurplus: (byteCount: Int) -> Unit) :
    HttpResponseDecoder() {
    private var awaitsResponse = false
    private var answersHead = false
    private var hasBody = false
    private val chunks = ChunkFraming()

    /** Expects the response to a request with [method]. */
    fun requestStarts(method: String) {
        awaitsResponse = true
        hasBody = false
        answersHead = method == "HEAD"
    }

    /** Expects no byte until the next request. */
    fun responseEnded() {
        awaitsResponse = false
    }

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (!awaitsResponse) {
            onSurplus(buffer.readableBytes())
            buffer.skipBytes(buffer.readableBytes())
            ctx.close()
            return
        }
        val from = buffer.readerIndex()
        super.decode(ctx, buffer, out)
        if (!chunks.takes(buffer, from, buffer.readerIndex())) return out.failChunk()
        out.forEach(::checkFields)
        out.forEach { if (it is HttpResponse) chunks.starts(it) }
        if (out.any { it is HttpContent && it.content().isReadable }) hasBody = true
        if (out.lastOrNull() is LastHttpContent && isShifted(buffer)) out.failLast(SHIFTED)
    }

    /** True if the bytes after a response show that its body did not end where its framing says. */
    private fun isShifted(surplus: ByteBuf): Boolean {
        val from = surplus.readerIndex()
        return hasBody &&
            RESPONSE_START.take(surplus.readableBytes()).withIndex()
                .any { (i, byte) -> surplus.getByte(from + i) != byte }
    }

    private fun MutableList<Any>.failLast(cause: DecoderResult) {
        ReferenceCountUtil.release(removeAt(lastIndex))
        add(DefaultLastHttpContent().apply { decoderResult = cause })
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status, reason) = initialLine
        require(VERSION.matches(version)) { "not a version of HTTP/1: $version" }
        require(STATUS.matches(status)) { "not a status of HTTP: $status" }
        require(STATUS_LINE !in reason) { "two status lines in one" }
        return super.createMessage(initialLine)
    }

    override fun splitHeaderName(line: ByteArray, start: Int, length: Int): AsciiString {
        var next = start + length
        while (next < line.size && line[next] in BLANKS) next++
        require(next < line.size && line[next] == COLON) { "a field without a colon" }
        return super.splitHeaderName(line, start, length)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        answersHead || super.isContentAlwaysEmpty(message)

    private fun checkFields(part: Any) {
        when (part) {
            is HttpResponse -> if (part.headers().haveStatusLine()) part.decoderResult = JOINED
            is LastHttpContent ->
                if (part.trailingHeaders().haveStatusLine()) part.decoderResult = JOINED
        }
    }

    private fun HttpHeaders.haveStatusLine(): Boolean = any { STATUS_LINE in it.value }

    private companion object {
        val VERSION = Regex("""HTTP/1\.\d""")
        val STATUS = Regex("""[1-5]\d\d""")

        /** A `Via` field may hold a version and an address, whose first number is no status. */
        val STATUS_LINE = Regex("""HTTP/\d\.\d\s+\d\d\d(?=\s|$)""")
        val JOINED: DecoderResult =
            DecoderResult.failure(IllegalArgumentException("a status line inside a field"))
        val SHIFTED: DecoderResult =
            DecoderResult.failure(IllegalArgumentException("a body that goes on after its end"))
        val RESPONSE_START = "HTTP/1.".toByteArray().toList()
        val BLANKS = setOf(' '.code.toByte(), '\t'.code.toByte())
        const val COLON = ':'.code.toByte()
    }
}
