package org.jacinthlink.transport

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.util.concurrent.TimeUnit

/**
 * One connection to a server.
 *
 * Every byte from the server belongs to the response to the request that was sent last. Bytes that
 * arrive while no response is awaited close the connection. It therefore returns to the pool only
 * after all bytes that Netty read from the socket have been processed, and before it is used again,
 * all bytes that have arrived in the meantime are read.
 */
internal class ClientConnection(
    val address: Address,
    private val client: HttpClient,
    private val input: InputEndHandler,
    private val paced: PacedInput,
    private val decoder: StrictResponseDecoder
) : ChannelInboundHandlerAdapter() {
    private lateinit var ctx: ChannelHandlerContext
    private var call: ConnectionCall? = null
    private var wasPooled = false
    private var isKeepAlive = true
    private var poolAfterRead = false
    private var isCheckingEnd = false
    private var usableUntilMs = Long.MAX_VALUE
    private var interimResponses = 0

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    /** True if a request may be sent at [nowMs]. Closes the connection if bytes have arrived. */
    fun isUsable(nowMs: Long): Boolean {
        if (!ctx.channel().isActive || nowMs >= usableUntilMs) return false
        // Whatever has arrived belongs to no request, also if it has not been handled yet.
        if (paced.isHolding) return false
        readArrivedBytes()
        return ctx.channel().isActive && !paced.isHolding
    }

    /** Sends the request of [next]. */
    fun start(next: ConnectionCall, isReused: Boolean) {
        call = next
        wasPooled = isReused
        isKeepAlive = true
        interimResponses = 0
        next.attach(ctx.channel(), paced)
        paced.isWanted = true
        val request = next.request
        decoder.requestStarts(request.method)
        val message =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method),
                request.target,
                Unpooled.wrappedBuffer(request.body)
            )
        request.headers.forEach { message.headers().add(it.name, it.value) }
        if (request.body.isNotEmpty() || request.method !in METHODS_WITHOUT_BODY) {
            HttpUtil.setContentLength(message, request.body.size.toLong())
        }
        ctx.writeAndFlush(message).addListener { requestWritten(next, it.isSuccess) }
    }

    /** Closes the connection. */
    fun close() {
        ctx.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            val current = call
            if (current == null || current.isEnded) {
                ctx.close()
                return
            }
            if (msg is HttpResponse) readHead(current, msg)
            if (msg is HttpContent) readBody(current, msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (poolAfterRead && call == null && ctx.channel().isActive) {
            poolAfterRead = false
            client.returnToPool(this)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        client.removeFromPool(this)
        failCall(CallFailure.CONNECTION_LOST)
    }

    /** Closes the connection when the server has closed its side of it. */
    override fun userEventTriggered(ctx: ChannelHandlerContext, evt: Any) {
        if (evt is ChannelInputShutdownEvent && !isCheckingEnd) connectionLost()
    }

    @Deprecated("deprecated in Netty")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) reportFailure("call of $address", cause)
        connectionLost()
    }

    private fun requestWritten(written: ConnectionCall, isSuccess: Boolean) {
        when {
            isSuccess -> written.isSent = true
            call === written -> connectionLost()
        }
    }

    private fun connectionLost() {
        failCall(CallFailure.CONNECTION_LOST)
        ctx.close()
    }

    private fun readHead(current: ConnectionCall, response: HttpResponse) {
        if (response.decoderResult().isFailure) return reject(CallFailure.MALFORMED_ANSWER)
        // No request asks for another protocol, after which no response would follow.
        if (response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) {
            return reject(CallFailure.MALFORMED_ANSWER)
        }
        if (response.status().code() in INFORMATIONAL) {
            if (++interimResponses > MAX_INTERIM_RESPONSES) reject(CallFailure.MALFORMED_ANSWER)
            return
        }
        if (!response.answers(current.request)) return reject(CallFailure.OTHER_ANSWER)
        isKeepAlive = HttpUtil.isKeepAlive(response)
        updateKeepAliveTimeout(response)
        val headers = response.headers().map { HeaderField(it.key, it.value) }
        current.head(response.status().code(), headers)
    }

    private fun readBody(current: ConnectionCall, content: HttpContent) {
        if (content.decoderResult().isFailure) return reject(CallFailure.MALFORMED_ANSWER)
        if (!current.hasHead) return
        val bytes = content.content()
        if (bytes.isReadable) {
            val part = ByteArray(bytes.readableBytes())
            bytes.readBytes(part)
            current.body(part)
        }
        if (content is LastHttpContent && !current.isEnded) readEnd(current)
    }

    private fun readArrivedBytes() = (ctx.channel().unsafe() as NioUnsafe).read()

    private fun readEnd(current: ConnectionCall) {
        decoder.responseEnded()
        when (input.end) {
            null -> completed(current)
            InputEnd.BY_PEER -> checkEnd(current)
            InputEnd.ABORTED -> connectionLost()
        }
    }

    private fun completed(current: ConnectionCall) {
        call = null
        // The next request would wait for a server that does not read the rest of this one.
        val isReusable =
            isKeepAlive &&
                current.isSent &&
                current.request.connectionUse != ConnectionUse.EXCLUSIVE
        poolAfterRead = isReusable && input.end == null && ctx.channel().isActive
        if (!poolAfterRead) ctx.close()
        // A paused connection would not notice bytes that arrive while it is idle.
        paced.isWanted = true
        current.complete()
    }

    /**
     * Completes the response that has ended with the connection, unless the server has closed the
     * connection before it had read the whole request. It may have crashed then.
     */
    private fun checkEnd(current: ConnectionCall) {
        when {
            !current.isSent -> connectionLost()
            current.request.body.isEmpty() -> completed(current)
            else -> {
                isCheckingEnd = true
                val check = Runnable { input.probe().addListener { endChecked(it.isSuccess) } }
                ctx.executor().schedule(check, END_CHECK_MS, TimeUnit.MILLISECONDS)
            }
        }
    }

    private fun endChecked(isOpen: Boolean) {
        val current = call
        if (isOpen && current != null && !current.isEnded) completed(current) else connectionLost()
    }

    private fun updateKeepAliveTimeout(response: HttpResponse) {
        val timeoutS =
            response.headers().get("keep-alive")?.let { KEEP_ALIVE_TIMEOUT.find(it) }
                ?.groupValues?.get(1)?.toLongOrNull()
        val keepAliveMs =
            timeoutS?.let { it * MS_PER_S - KEEP_ALIVE_MARGIN_MS } ?: DEFAULT_KEEP_ALIVE_MS
        usableUntilMs = monotonicMs() + keepAliveMs
    }

    private fun reject(failure: CallFailure) {
        failCall(failure)
        ctx.close()
    }

    private fun failCall(failure: CallFailure) {
        val current = call ?: return
        call = null
        val closedBeforeResponse =
            failure == CallFailure.CONNECTION_LOST && wasPooled && !current.hasHead
        current.fail(if (closedBeforeResponse) CallFailure.KEPT_CONNECTION_CLOSED else failure)
    }

    private fun HttpResponse.answers(request: ClientRequest): Boolean {
        val expected = request.responseId ?: return true
        val ids = headers().getAll(expected.fieldName)
        return ids == listOfNotNull(expected.value) || ids.isEmpty() && !wasPooled
    }

    private companion object {
        val INFORMATIONAL = 100..199
        val KEEP_ALIVE_TIMEOUT = Regex("""timeout=(\d+)""")
        val METHODS_WITHOUT_BODY = setOf("GET", "HEAD")
        const val MS_PER_S = 1_000L

        /** The reset by a server that has not read all it was sent follows its close directly. */
        const val END_CHECK_MS = 2L

        /** A server that sends more interim responses than this may never send the final one. */
        const val MAX_INTERIM_RESPONSES = 16

        /** A server may close an idle connection slightly before the timeout that it announced. */
        const val KEEP_ALIVE_MARGIN_MS = 500L

        /** Time for which an idle connection is usable if the server announces no timeout. */
        const val DEFAULT_KEEP_ALIVE_MS = 4_000L
    }
}
