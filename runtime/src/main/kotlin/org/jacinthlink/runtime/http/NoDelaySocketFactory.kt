package org.jacinthlink.runtime.http

import java.net.InetAddress
import java.net.Socket
import javax.net.SocketFactory

/**
 * Sockets that send small segments at once. Otherwise the last segment of a request waits for the
 * delayed acknowledgement of the one before, for about 40 ms.
 */
internal object NoDelaySocketFactory : SocketFactory() {
    private val plain: SocketFactory = getDefault()

    override fun createSocket(): Socket = plain.createSocket().noDelay()

    override fun createSocket(host: String, port: Int): Socket =
        plain.createSocket(host, port).noDelay()

    override fun createSocket(
        host: String,
        port: Int,
        localHost: InetAddress,
        localPort: Int
    ): Socket = plain.createSocket(host, port, localHost, localPort).noDelay()

    override fun createSocket(host: InetAddress, port: Int): Socket =
        plain.createSocket(host, port).noDelay()

    override fun createSocket(
        address: InetAddress,
        port: Int,
        localAddress: InetAddress,
        localPort: Int
    ): Socket = plain.createSocket(address, port, localAddress, localPort).noDelay()

    private fun Socket.noDelay(): Socket = apply { tcpNoDelay = true }
}
