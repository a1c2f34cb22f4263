package org.jacinthlink.transport

import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/** The request with this head and [body], which has just arrived. */
internal fun HttpRequest.toServerRequest(body: ByteArray) =
    ServerRequest(
        method().name(),
        uri(),
        headers().map { HeaderField(it.key, it.value) },
        body,
        System.currentTimeMillis()
    )

/** True if this head names exactly one host, as HTTP/1.1 requires. */
internal fun HttpRequest.hasOneHost(): Boolean = headers().getAll("host").size == 1

/** Sends `100 Continue` to a client that waits for it before it sends its body. */
internal fun Channel.sendContinue() {
    writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
}
