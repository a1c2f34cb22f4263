package org.jacinthlink.transport

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes requests and rejects those with both Content-Length and chunked Transfer-Encoding, which
 * could hide a second request in the body (request smuggling).
 */
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
