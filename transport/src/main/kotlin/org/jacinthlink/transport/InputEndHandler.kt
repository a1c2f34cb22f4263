package org.jacinthlink.transport

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent

/** How the bytes from a peer ended. */
internal enum class InputEnd {
    /** The peer has closed its side of the connection, so all its bytes have arrived. */
    BY_PEER,

    /** The connection was closed by this process, or after a reset or another error. */
    ABORTED
}

/**
 * Records how the bytes from the peer ended, before the codec learns that they ended.
 *
 * The codec reports a response without a length as complete at any end of its connection, after an
 * error too. It needs a channel that allows half-closure: only there, Netty reports a close by the
 * peer apart from all other ends.
 */
internal class InputEndHandler : ChannelInboundHandlerAdapter() {
    /** How the input ended, or null before its end. */
    var end: InputEnd? = null
        private set

    private lateinit var ctx: ChannelHandlerContext

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    /**
     * Writes an empty line, which fails if the peer has reset the connection.
     *
     * After a close by the peer, a read no longer reports a reset that followed. Servers ignore an
     * empty line between requests, and this peer sends no further response.
     */
    fun probe(): ChannelFuture = ctx.writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE))

    override fun userEventTriggered(ctx: ChannelHandlerContext, evt: Any) {
        if (evt is ChannelInputShutdownEvent) record(InputEnd.BY_PEER)
        ctx.fireUserEventTriggered(evt)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        record(InputEnd.ABORTED)
        ctx.fireChannelInactive()
    }

    @Deprecated("deprecated in Netty")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        record(InputEnd.ABORTED)
        ctx.fireExceptionCaught(cause)
    }

    private fun record(how: InputEnd) {
        if (end == null) end = how
    }

    private companion object {
        val EMPTY_LINE = "\r\n".toByteArray()
    }
}
