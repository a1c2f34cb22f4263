package org.jacinthlink.transport

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes responses and rejects those whose status line is not one of HTTP/1.
 *
 * Netty takes any number for a status and any protocol for HTTP, so that bytes which are no
 * response would be passed on as one.
 */
internal class StrictResponseDecoder : HttpResponseDecoder() {
    /** True if the next response answers a HEAD request, and so has no body. */
    var answersHead = false

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status) = initialLine
        require(VERSION.matches(version)) { "not a version of HTTP/1: $version" }
        require(STATUS.matches(status)) { "not a status of HTTP: $status" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        answersHead || super.isContentAlwaysEmpty(message)

    private companion object {
        val VERSION = Regex("""HTTP/1\.\d""")
        val STATUS = Regex("""[1-5]\d\d""")
    }
}
