package org.jacinthlink.transport

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFactory
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder

/**
 * Sends HTTP/1.1 requests over pooled connections. It must be used on the event loop only.
 *
 * @param onSurplus Called when a connection is closed because of bytes that belong to no request.
 * @param newChannel Opens a socket.
 */
class HttpClient internal constructor(
    private val loop: EventLoop,
    private val onSurplus: (server: Address, byteCount: Int) -> Unit,
    private val newChannel: () -> Channel = ::NioSocketChannel
) {
    private val idleConnections = HashMap<Address, ArrayDeque<ClientConnection>>()

    /** Memory for the bodies of responses that are read completely before they are used. */
    val responseMemory: ResponseMemory = responseMemory()

    /** Sends [request]; [listener] receives the response. */
    fun send(request: ClientRequest, listener: ClientListener): ClientCall {
        val isShared = request.connectionUse == ConnectionUse.SHARED
        val connection = if (isShared) takeIdle(request.address) else null
        val call = ConnectionCall(request, listener)
        if (connection != null) connection.start(call, isReused = true) else connect(call)
        return call
    }

    /**
     * Closes the idle connections to [address], for example after a call without an answer:
     * connections may fall silent together without a reset, while new ones work.
     */
    fun discardIdle(address: Address) {
        idleConnections.remove(address)?.forEach { it.close() }
    }

    internal fun returnToPool(connection: ClientConnection) {
        val idle = idleConnections.getOrPut(connection.address) { ArrayDeque() }
        if (idle.size < MAX_IDLE_PER_ADDRESS) idle.addLast(connection) else connection.close()
    }

    internal fun removeFromPool(connection: ClientConnection) {
        idleConnections[connection.address]?.remove(connection)
    }

    private fun takeIdle(address: Address): ClientConnection? {
        val idle = idleConnections[address] ?: return null
        val nowMs = monotonicMs()
        while (idle.isNotEmpty()) {
            val connection = idle.removeLast()
            if (connection.isUsable(nowMs)) return connection
            connection.close()
        }
        return null
    }

    private fun connect(call: ConnectionCall) {
        val input = InputEndHandler()
        // The connection outlives its first call, and must not keep the body of its request.
        val address = call.request.address
        val decoder = StrictResponseDecoder { onSurplus(address, it) }
        val paced = PacedInput(loop.inputs, InputPeer.Server(address))
        val connection = ClientConnection(address, this, input, paced, decoder)
        val initializer =
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline()
                        .addLast(input, paced, decoder, HttpRequestEncoder(), connection)
                }
            }
        val connecting =
            Bootstrap()
                .group(loop.group)
                .channelFactory(ChannelFactory { newChannel() })
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, call.request.connectTimeoutMs)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, PacedInput.receiveBuffers())
                .handler(initializer)
                .connect(call.request.address.toSocketAddress())
        call.attach(connecting.channel())
        // Netty reports on a thread of its own that it could not open a socket.
        connecting.addListener {
            loop.runOnLoop {
                when {
                    call.isEnded -> connecting.channel().close()
                    it.isSuccess -> connection.start(call, isReused = false)
                    else -> call.fail(CallFailure.NOT_CONNECTED)
                }
            }
        }
    }

    private companion object {
        /** Maximum number of idle connections to one address. */
        const val MAX_IDLE_PER_ADDRESS = 64
    }
}

/**
 * Creates an HTTP client that runs on [loop]. [onSurplus] is called when it closes a connection
 * because of bytes that belong to no request.
 */
fun httpClient(
    loop: EventLoop,
    onSurplus: (server: Address, byteCount: Int) -> Unit = { _, _ -> }
): HttpClient = HttpClient(loop, onSurplus)
