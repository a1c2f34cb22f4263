package org.jacinthlink.transport

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Decodes requests and rejects those that give their length in two ways. */
internal class StrictRequestDecoder(maxHeaderBytes: Int) :
    HttpRequestDecoder(MAX_LINE_BYTES, maxHeaderBytes, CHUNK_BYTES) {
    override fun handleTransferEncodingChunkedWithContentLength(
        message: HttpMessage
    ): Unit =
        throw IllegalArgumentException("request has both Content-Length and Transfer-Encoding")

    private companion object {
        const val MAX_LINE_BYTES = 8_192
        const val CHUNK_BYTES = 16_384
    }
}
