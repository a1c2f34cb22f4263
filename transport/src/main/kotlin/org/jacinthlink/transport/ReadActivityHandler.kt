package org.jacinthlink.transport

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/**
 * Reports received bytes to a connection before they are decoded, so that the time limit of a
 * request starts with its first byte, even if its headers never become complete.
 */
internal class ReadActivityHandler(private val connection: ServerConnection) :
    ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        connection.onBytesReceived(monotonicMs())
        ctx.fireChannelRead(msg)
    }
}
