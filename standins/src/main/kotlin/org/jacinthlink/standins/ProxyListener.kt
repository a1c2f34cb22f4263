package org.jacinthlink.standins

import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** One listening port of the fault proxy with its connections. */
internal class ProxyListener(
    private val host: String,
    private val settings: ProxyListenerSettings
) {
    private val link = ProxyLink()
    private val connections = ConcurrentHashMap.newKeySet<ProxyConnection>()
    private var serverSocket: ServerSocket? = null
    private var acceptor: Thread? = null
    private var stopped = false
    private val port: Int

    init {
        port = open(settings.port)
    }

    val address: String = "$host:$port"

    val status: ProxyListenerStatus
        get() =
            ProxyListenerStatus(
                settings.name,
                address,
                settings.target,
                connections.size,
                link.faults
            )

    @Synchronized
    fun setFaults(faults: ProxyFaults) {
        link.faults = faults
        if (faults.refuse) {
            closeServerSocket()
        } else if (serverSocket == null && !stopped) {
            open(port)
        }
    }

    fun cutAll() = connections.forEach { it.cut() }

    fun silenceExisting() = connections.forEach { it.silence() }

    @Synchronized
    fun stop() {
        stopped = true
        closeServerSocket()
        cutAll()
    }

    private fun open(port: Int): Int {
        val socket = ServerSocket()
        socket.reuseAddress = true
        socket.bind(InetSocketAddress(host, port), BACKLOG)
        serverSocket = socket
        acceptor = thread(isDaemon = true, name = "proxy-${settings.name}") { acceptAll(socket) }
        return socket.localPort
    }

    /** The port accepts connections until the thread that waits for one has noticed the close. */
    private fun closeServerSocket() {
        serverSocket?.close()
        serverSocket = null
        acceptor?.join(CLOSE_TIMEOUT_MS)
        acceptor = null
    }

    private fun acceptAll(socket: ServerSocket) {
        while (!socket.isClosed) {
            try {
                val client = socket.accept()
                // Connecting to a slow target must not hold up other clients.
                thread(isDaemon = true, name = "proxy-connect") { connect(client) }
            } catch (_: IOException) {
                if (!socket.isClosed) Thread.sleep(ACCEPT_PAUSE_MS)
            }
        }
    }

    private fun connect(client: Socket) {
        val target = Socket()
        try {
            val (targetHost, targetPort) = settings.target.split(":")
            target.connect(InetSocketAddress(targetHost, targetPort.toInt()), CONNECT_TIMEOUT_MS)
        } catch (_: IOException) {
            target.close()
            reset(client)
            return
        }
        val connection = ProxyConnection(client, target, link, connections::remove)
        connections += connection
        connection.start()
    }

    private companion object {
        const val BACKLOG = 512
        const val ACCEPT_PAUSE_MS = 10L
        const val CONNECT_TIMEOUT_MS = 5_000
        const val CLOSE_TIMEOUT_MS = 1_000L
    }
}

/** Closes [socket] so that the peer sees a reset. */
internal fun reset(socket: Socket) {
    try {
        socket.setSoLinger(true, 0)
        socket.close()
    } catch (_: IOException) {
        // The socket is closed already.
    }
}
