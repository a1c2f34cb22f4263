package org.jacinthlink.transport

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import java.net.InetSocketAddress

/** A listening HTTP/1.1 server. */
class HttpListener internal constructor(
    private val loop: EventLoop,
    private val channel: Channel,
    private val connections: MutableSet<ServerConnection>,
    pauses: PauseDetector
) {
    private val sweep = loop.repeat(SWEEP_PERIOD_MS, ::closeOverdue)
    private val beat = loop.repeat(PauseDetector.PERIOD_MS) { pauses.beat(monotonicMs()) }

    /** Port on which the server listens. */
    val port: Int get() = (channel.localAddress() as InetSocketAddress).port

    /** Number of connections with a request that is being read, or an answer that is not sent. */
    val activeRequestCount: Int get() = connections.count { it.isBusy }

    /**
     * Closes each connection that is open now after the next response whose headers are sent on it.
     * A stream that has already started does not close its connection at its end.
     */
    fun drain() {
        connections.forEach { it.drain() }
    }

    /**
     * Closes the connections on which no request is being read or answered, after bytes that have
     * arrived are read. Those that have had no request yet, or are busy, are closed when they have
     * been idle for a moment.
     */
    fun closeIdle() {
        connections.toList().forEach { it.leave() }
    }

    /** Stops listening and closes all connections. */
    fun stop() {
        sweep.cancel()
        beat.cancel()
        channel.close()
        connections.toList().forEach { it.close() }
    }

    private fun closeOverdue() {
        val nowMs = monotonicMs()
        connections.toList().forEach { it.closeIfOverdue(nowMs) }
    }

    private companion object {
        const val SWEEP_PERIOD_MS = 250L
    }
}

/**
 * Starts a server on [address].
 *
 * @param limits Read whenever a limit is checked, so that a change applies at once. Only
 *   [ServerLimits.maxHeaderBytes] is read once for each connection.
 * @param memory Bounds the bytes of all requests, together with other servers that use it.
 */
fun listen(
    loop: EventLoop,
    address: Address,
    limits: () -> ServerLimits,
    memory: RequestMemory,
    handler: ServerHandler
): HttpListener {
    val connections = mutableSetOf<ServerConnection>()
    val pauses = PauseDetector(monotonicMs())
    val initializer =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val currentLimits = limits()
                val input = PacedInput(loop.inputs, clientHost(channel))
                val connection =
                    ServerConnection(
                        loop,
                        channel,
                        input,
                        limits,
                        memory,
                        handler,
                        connections,
                        pauses
                    )
                channel.pipeline().addLast(
                    ReadActivityHandler(connection),
                    input,
                    StrictRequestDecoder(currentLimits.maxHeaderBytes),
                    HttpResponseEncoder(),
                    connection
                )
            }
        }
    val channel =
        ServerBootstrap()
            .group(loop.group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, PacedInput.receiveBuffers())
            .childHandler(initializer)
            .bind(address.toSocketAddress())
            .sync()
            .channel()
    return HttpListener(loop, channel, connections, pauses)
}

/** The client of a connection that may be closed already. */
private fun clientHost(channel: SocketChannel): InputPeer =
    InputPeer.ClientHost(channel.remoteAddress()?.address?.hostAddress.orEmpty())

/** Starts a server on [address] with memory of its own. */
fun listen(
    loop: EventLoop,
    address: Address,
    limits: () -> ServerLimits,
    handler: ServerHandler
): HttpListener = listen(loop, address, limits, requestMemory(), handler)

/** Milliseconds of the monotonic clock. */
internal fun monotonicMs(): Long = System.nanoTime() / NANOS_PER_MS

private const val NANOS_PER_MS = 1_000_000L
private const val BACKLOG = 1_024
