package org.jacinthlink.transport

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import java.io.IOException

/**
 * One connection that a client has opened.
 *
 * It handles one request at a time. Further requests that arrive in the meantime are queued until
 * the current response has ended. After a response that closes the connection, none is handled.
 *
 * A request for which there is no memory is refused at once, and the rest of its body is dropped.
 */
internal class ServerConnection(
    private val loop: EventLoop,
    private val channel: SocketChannel,
    private val input: PacedInput,
    private val limits: () -> ServerLimits,
    private val memory: RequestMemory,
    private val handler: ServerHandler,
    private val connections: MutableSet<ServerConnection>,
    private val pauses: PauseDetector
) : ChannelInboundHandlerAdapter() {
    private val queue = MessageQueue(memory)
    private var head: HttpRequest? = null
    private val body = RequestBody(memory)
    private var exchange: ChannelExchange? = null
    private var requestStartedAtMs: Long? = null
    private var idleSinceMs = monotonicMs()

    /** Longest idle timeout since [idleSinceMs]; its client may not know of a shorter one yet. */
    private var idleTimeoutMs = limits().idleTimeoutMs
    private var isDraining = false
    private var isLeaving = false
    private var hasServed = false

    /** True once a response has been sent after which the connection closes. */
    private var isClosing = false
    private var isAcceptingQueued = false
    private val closing = ConnectionClosing(loop, channel, input) { isBusy }

    /** Bytes of a refused body that have been dropped, or null if none is being read. */
    private var droppedBytes: Long? = null

    /** The refusal of the body that is being dropped, if it is still to be sent. */
    private var lateRefusal: (() -> Unit)? = null

    private val isHandling: Boolean get() = exchange != null || requestStartedAtMs != null

    /** True while a request is being read or answered, or an answer has not left the process. */
    val isBusy: Boolean get() = isHandling || closing.hasUnsentAnswer

    override fun channelActive(ctx: ChannelHandlerContext) {
        connections.add(this)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        connections.remove(this)
        queue.clear()
        exchange?.clientClosed()
        exchange = null
        head = null
        body.release()
    }

    /** A reset closes the connection like a regular close; Netty then calls [channelInactive]. */
    @Deprecated("deprecated in Netty")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) reportFailure("client connection", cause)
        ctx.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        when {
            isClosing || closing.isOutputClosed -> ReferenceCountUtil.release(msg)
            exchange != null -> enqueue(msg)
            else -> accept(msg)
        }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (channel.isWritable) exchange?.becameWritable()
    }

    /** Starts the time limit of a request at [nowMs], unless one is being read or answered. */
    fun onBytesReceived(nowMs: Long) {
        val isRead = !isClosing && !closing.isOutputClosed
        if (!isHandling && isRead) requestStartedAtMs = nowMs
    }

    /**
     * Closes the connection after the next response whose headers are sent. A stream that has
     * already started does not close it at its end.
     */
    fun drain() {
        isDraining = true
    }

    /** Closes the connection. */
    fun close() {
        channel.close()
    }

    /**
     * Closes the connection once it is idle. One that has had no request, and one that is busy now,
     * stays open for a moment longer, because a request may be on its way.
     */
    fun leave() {
        isLeaving = true
        if (hasServed && !isBusy) closing.closeIfIdle()
    }

    /**
     * Closes the connection if it has been idle for too long. Refuses a request with status 408 and
     * closes the connection if the request has not arrived completely within its time limit.
     */
    fun closeIfOverdue(nowMs: Long) {
        if (exchange != null) return
        val startedAtMs = requestStartedAtMs
        when {
            startedAtMs == null -> closeIfIdleTooLong(nowMs)
            nowMs - startedAtMs > limits().requestTimeoutMs -> refuse(REQUEST_TIMEOUT)
        }
    }

    private fun closeIfIdleTooLong(nowMs: Long) {
        idleTimeoutMs = maxOf(idleTimeoutMs, limits().idleTimeoutMs)
        val isUnsent = closing.hasUnsentAnswer
        if (isUnsent && closing.hasProgressed()) idleSinceMs = nowMs
        val limitMs = if (isLeaving && !isUnsent) IDLE_MARGIN_MS else idleTimeoutMs + IDLE_MARGIN_MS
        when {
            closing.isOver(nowMs) -> close()
            nowMs - idleSinceMs <= limitMs -> Unit
            isUnsent -> close()
            else -> closing.closeIfIdle()
        }
    }

    private fun enqueue(msg: Any) {
        queue.add(msg)
        if (queue.isFull || queue.isMemoryFull) input.isWanted = false
    }

    private fun accept(msg: Any) {
        try {
            if (msg is HttpRequest) start(msg)
            if (msg is HttpContent && channel.isActive) append(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    private fun start(request: HttpRequest) {
        if (requestStartedAtMs == null) requestStartedAtMs = monotonicMs()
        val fault = request.decoderResult().cause()
        when {
            fault is TooLongHttpLineException || fault is TooLongHttpHeaderException ->
                refuse(HEADERS_TOO_LARGE)
            fault != null || !request.hasOneHost() -> refuse(BAD_REQUEST)
            else -> {
                head = request
                val bytes = HttpUtil.getContentLength(request, 0L)
                if (bytes > 0) body.expect(bytes)
                when {
                    bytes > maxBodyBytes -> refuse(BODY_TOO_LARGE)
                    !memory.admits(bytes, bytes) -> refuseForMemory(request)
                    HttpUtil.is100ContinueExpected(request) -> channel.sendContinue()
                }
            }
        }
    }

    private fun append(content: HttpContent) {
        val bytes = content.content()
        val dropped = droppedBytes
        val request = head
        val isTooLarge = (dropped ?: body.size.toLong()) + bytes.readableBytes() > maxBodyBytes
        when {
            dropped == null && request == null -> Unit
            content.decoderResult().isFailure -> refuse(BAD_REQUEST)
            isTooLarge -> refuse(BODY_TOO_LARGE)
            dropped != null -> drop(content, dropped)
            request == null -> Unit
            !body.append(bytes) -> {
                refuseForMemory(request)
                if (!isClosing) drop(content, 0)
            }
            content is LastHttpContent -> dispatch(request)
        }
    }

    private val maxBodyBytes: Int get() = limits().maxBodyBytes

    /**
     * Refuses [request] at once. If its connection will close, its body is read before, because
     * bytes that arrive after the close would reset the connection before the refusal is read. A
     * client that waits for leave to send its body sends none after a refusal.
     */
    private fun refuseForMemory(request: HttpRequest) {
        head = null
        body.release()
        val awaitsLeave = HttpUtil.is100ContinueExpected(request)
        val keepAlive = HttpUtil.isKeepAlive(request) && !awaitsLeave
        if (awaitsLeave) requestStartedAtMs = null else droppedBytes = 0
        val refusal = {
            val next = ChannelExchange(channel, memory, { keepAlive && !isDraining }, ::finished)
            exchange = next
            handler.refuseGuarded(request.toServerRequest(ByteArray(0)), next)
        }
        if (awaitsLeave || keepAlive && !isDraining) refusal() else lateRefusal = refusal
    }

    private fun drop(content: HttpContent, dropped: Long) {
        droppedBytes = dropped + content.content().readableBytes()
        if (content !is LastHttpContent) return
        droppedBytes = null
        requestStartedAtMs = null
        idleSinceMs = monotonicMs()
        lateRefusal?.invoke()
        lateRefusal = null
    }

    private fun dispatch(request: HttpRequest) {
        head = null
        requestStartedAtMs = null
        val keepAlive = HttpUtil.isKeepAlive(request)
        val next = ChannelExchange(channel, memory, { keepAlive && !isDraining }, ::finished)
        exchange = next
        val serverRequest = request.toServerRequest(body.take())
        if (pauses.isCatchingUp(monotonicMs())) {
            // The end of the connection is read after the request.
            loop.executeAfterRead { if (next.isOpen) handler.handleGuarded(serverRequest, next) }
        } else {
            handler.handleGuarded(serverRequest, next)
        }
    }

    private fun finished(staysOpen: Boolean, written: ChannelFuture) {
        exchange = null
        hasServed = true
        closing.await(written, staysOpen) { idleSinceMs = monotonicMs() }
        body.release()
        idleSinceMs = monotonicMs()
        idleTimeoutMs = limits().idleTimeoutMs
        if (!staysOpen) isClosing = true
        if (isClosing || !channel.isActive) return
        acceptQueued()
        if (!queue.isFull) input.isWanted = true
    }

    /** Does nothing if it is called for the response to a request that it has just accepted. */
    private fun acceptQueued() {
        if (isAcceptingQueued) return
        isAcceptingQueued = true
        try {
            while (exchange == null && !isClosing && !queue.isEmpty) {
                accept(queue.take())
            }
        } finally {
            isAcceptingQueued = false
        }
    }

    private fun refuse(status: Int) {
        // The request has its refusal already.
        if (droppedBytes != null && lateRefusal == null) return close()
        head = null
        body.release()
        droppedBytes = null
        lateRefusal = null
        requestStartedAtMs = null
        isClosing = true
        ChannelExchange(channel, memory, { false }) { _, written ->
            closing.await(written, false) {}
        }.respond(status, emptyList(), ByteArray(0))
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val BODY_TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431

        /**
         * An idle connection stays open for this time beyond the idle limit, because a request that
         * a client sends while its connection is being closed is lost.
         */
        const val IDLE_MARGIN_MS = 1_000L
    }
}
