package org.jacinthlink.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes requests and rejects those that could hide a second request in the body (request
 * smuggling): with both Content-Length and chunked Transfer-Encoding, or with bytes between the
 * data of a chunk and its line end.
 */
internal class StrictRequestDecoder(maxHeaderBytes: Int) :
    HttpRequestDecoder(MAX_LINE_BYTES, maxHeaderBytes, CHUNK_BYTES) {
    private val chunks = ChunkFraming()

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val from = buffer.readerIndex()
        super.decode(ctx, buffer, out)
        if (!chunks.takes(buffer, from, buffer.readerIndex())) return out.failChunk()
        out.forEach { if (it is HttpRequest) chunks.starts(it) }
    }

    override fun handleTransferEncodingChunkedWithContentLength(
        message: HttpMessage
    ): Unit =
        throw IllegalArgumentException("request has both Content-Length and Transfer-Encoding")

    private companion object {
        const val MAX_LINE_BYTES = 8_192
        const val CHUNK_BYTES = 16_384
    }
}
