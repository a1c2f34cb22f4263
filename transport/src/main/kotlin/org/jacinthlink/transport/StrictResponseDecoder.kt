package org.jacinthlink.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes the responses of one connection, each of which answers one request.
 *
 * All bytes between two requests are surplus, and close the connection at once: the beginning of a
 * late response would otherwise be joined with the next one. A response is also rejected if its
 * status line is not one of HTTP/1. Netty accepts all of that.
 */
internal class StrictResponseDecoder : HttpResponseDecoder() {
    private var awaitsResponse = false
    private var answersHead = false

    /** Expects the response to a request with [method]. */
    fun requestStarts(method: String) {
        awaitsResponse = true
        answersHead = method == "HEAD"
    }

    /** Expects no byte until the next request. */
    fun responseEnded() {
        awaitsResponse = false
    }

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (!awaitsResponse) {
            buffer.skipBytes(buffer.readableBytes())
            ctx.close()
            return
        }
        super.decode(ctx, buffer, out)
    }

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
