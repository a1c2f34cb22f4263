package org.jacinthlink.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.RecvByteBufAllocator
import io.netty.util.ReferenceCountUtil

/**
 * Passes the bytes of one connection on to its decoder when [turns] allow it, and decides whether
 * the socket is read. Nothing else may change whether the channel reads.
 *
 * At most one buffer is held. The end of the connection is read after that, so it comes behind the
 * bytes before it.
 */
internal class PacedInput(private val turns: InputTurns, override val peer: InputPeer) :
    ChannelInboundHandlerAdapter(),
    HeldInput {
    private lateinit var ctx: ChannelHandlerContext
    private var held: ByteBuf? = null

    /** True while bytes that were read have not been handled. */
    val isHolding: Boolean get() = held != null

    /** False if the user of the connection wants no more bytes for now. */
    var isWanted: Boolean = true
        set(value) {
            field = value
            applyReading(ctx.channel())
        }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (turns.admits(peer)) {
            turns.handle(peer) { ctx.fireChannelRead(msg) }
            return
        }
        held = msg as ByteBuf
        turns.hold(this)
        applyReading(ctx.channel())
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (!isHolding) ctx.fireChannelReadComplete()
    }

    override fun handle() {
        val bytes = held ?: return
        held = null
        applyReading(ctx.channel())
        ctx.fireChannelRead(bytes)
        ctx.fireChannelReadComplete()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        dropHeld()
        ctx.fireChannelInactive()
    }

    override fun handlerRemoved(ctx: ChannelHandlerContext) = dropHeld()

    private fun dropHeld() {
        val bytes = held ?: return
        held = null
        turns.remove(this)
        ReferenceCountUtil.release(bytes)
    }

    private fun applyReading(channel: Channel) {
        channel.config().isAutoRead = isWanted && !isHolding
    }

    companion object {
        /** Bounds what a connection can take of a turn, and what is held of it. */
        private const val MAX_READ_BYTES = 8_192
        private const val FIRST_READ_BYTES = 2_048
        private const val LEAST_READ_BYTES = 64

        /** Receive buffers of a connection, which is read once in a turn. */
        fun receiveBuffers(): RecvByteBufAllocator =
            AdaptiveRecvByteBufAllocator(LEAST_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(1)
    }
}
