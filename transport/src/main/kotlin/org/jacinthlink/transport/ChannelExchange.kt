package org.jacinthlink.transport

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.io.IOException

/**
 * Sends a response on a Netty channel, which stays open for further requests if [isKeepAlive].
 *
 * @param onFinished Called when the whole response has been handed over, with what tells when its
 *   last byte has left the process.
 */
internal class ChannelExchange(
    private val channel: Channel,
    private val memory: RequestMemory,
    private val isKeepAlive: () -> Boolean,
    private val onFinished: (staysOpen: Boolean, written: ChannelFuture) -> Unit
) : ServerExchange {
    private var isEnded = false
    private var hasStarted = false
    private var staysOpen = false
    private var closedListener: (() -> Unit)? = null
    private var writableListener: (() -> Unit)? = null

    override val isOpen: Boolean get() = !isEnded && channel.isActive

    override val isWritable: Boolean get() = channel.isWritable

    override fun onWritable(listener: () -> Unit) {
        writableListener = listener
    }

    override fun onClientClosed(listener: () -> Unit) {
        closedListener = listener
    }

    override fun respond(status: Int, headers: List<HeaderField>, body: ByteArray) {
        if (!isOpen) return
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(body)
            )
        prepare(response, headers)
        HttpUtil.setContentLength(response, body.size.toLong())
        finish(response, body.size)
    }

    override fun startStream(status: Int, headers: List<HeaderField>) {
        if (!isOpen) return
        val response =
            DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        prepare(response, headers)
        hasStarted = true
        HttpUtil.setTransferEncodingChunked(response, true)
        watched(channel.write(response), 0)
    }

    override fun write(part: ByteArray) {
        if (!isOpen) return
        watched(channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(part))), part.size)
    }

    override fun endStream() {
        if (isOpen) finish(LastHttpContent.EMPTY_LAST_CONTENT, 0)
    }

    override fun abort() {
        if (!isOpen) return
        isEnded = true
        onFinished(false, channel.close())
    }

    override fun fail(status: Int) = fail(status, emptyList())

    override fun withdraw(status: Int, headers: List<HeaderField>) {
        if (!isOpen) return
        fail(status, headers)
        closedListener?.invoke()
    }

    private fun fail(status: Int, headers: List<HeaderField>) {
        if (hasStarted) abort() else respond(status, headers, ByteArray(0))
    }

    /** Notifies the listener that the client has closed the connection. */
    fun clientClosed() {
        if (isEnded) return
        isEnded = true
        closedListener?.invoke()
    }

    /** Notifies the listener that the client has read enough of the response. */
    fun becameWritable() {
        if (!isEnded) writableListener?.invoke()
    }

    private fun prepare(response: HttpResponse, headers: List<HeaderField>) {
        headers.forEach { response.headers().add(it.name, it.value) }
        staysOpen = isKeepAlive()
        if (!staysOpen) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
    }

    private fun finish(last: Any, bytes: Int) {
        isEnded = true
        onFinished(staysOpen, watched(channel.writeAndFlush(last), bytes))
    }

    /**
     * Counts [bytes] until [written] has ended. If it fails, the connection closes, so that
     * no client ever waits for the rest of an answer.
     */
    private fun watched(written: ChannelFuture, bytes: Int): ChannelFuture {
        memory.addAnswer(bytes.toLong())
        return written.addListener {
            memory.addAnswer(-bytes.toLong())
            if (!it.isSuccess) {
                if (it.cause() !is IOException) reportFailure("answer", it.cause())
                channel.close()
            }
        }
    }
}
