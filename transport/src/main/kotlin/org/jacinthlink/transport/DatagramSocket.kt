package org.jacinthlink.transport

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import java.net.InetSocketAddress

/** A UDP socket. A datagram that cannot be sent is dropped without an error. */
class DatagramSocket internal constructor(private val channel: Channel) {
    /** Sends [bytes] to [address]. */
    fun send(address: Address, bytes: ByteArray) {
        val packet = DatagramPacket(Unpooled.wrappedBuffer(bytes), address.toSocketAddress())
        channel.writeAndFlush(packet)
    }

    /** Port to which the socket is bound. */
    val port: Int get() = (channel.localAddress() as InetSocketAddress).port

    /** Closes the socket. */
    fun stop() {
        channel.close()
    }
}

/**
 * Opens a UDP socket on [address]; [onDatagram] runs on the event loop.
 *
 * Load pattern: an event loop that is short of processor time gets to the socket a few times a
 * second. If it took a few datagrams each time, those of many peers would wait in the socket for
 * seconds, and the newest ones would be dropped. So it takes many at once.
 */
fun datagramSocket(
    loop: EventLoop,
    address: Address,
    onDatagram: (ByteArray) -> Unit
): DatagramSocket {
    val receiver =
        object : SimpleChannelInboundHandler<DatagramPacket>() {
            override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) {
                val bytes = ByteArray(packet.content().readableBytes())
                packet.content().readBytes(bytes)
                onDatagram(bytes)
            }

            /** Ignores exceptions, for example for a closed port of a stopped peer. */
            @Deprecated("deprecated in Netty")
            override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
                if (cause is Error) reportFailure("datagram", cause)
            }
        }
    val channel =
        Bootstrap()
            .group(loop.group)
            .channel(NioDatagramChannel::class.java)
            .option(
                ChannelOption.RCVBUF_ALLOCATOR,
                FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES)
                    .maxMessagesPerRead(MAX_DATAGRAMS_PER_READ)
            )
            .handler(receiver)
            .bind(address.toSocketAddress())
            .sync()
            .channel()
    return DatagramSocket(channel)
}

/** Longer datagrams are truncated on receipt; Netty's default is 2,048 bytes. */
private const val MAX_DATAGRAM_BYTES = 32_768

/** Bounds the memory of the datagrams that are read together to 2 MB. */
private const val MAX_DATAGRAMS_PER_READ = 64
