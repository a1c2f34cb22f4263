package org.jacinthlink.transport

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Tells a connection when bytes arrive, so that a request that never completes is noticed. */
internal class ByteWatch(private val connection: ServerConnection) :
    ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        connection.bytesArrived(monotonicMs())
        ctx.fireChannelRead(msg)
    }
}
