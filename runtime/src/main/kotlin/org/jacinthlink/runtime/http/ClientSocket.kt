package org.jacinthlink.runtime.http

import java.io.FilterOutputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import javax.net.SocketFactory

/**
 * Socket of a client of HTTP/1.1, whose input hands out one response for each request.
 *
 * It sends small segments at once. Otherwise the last segment of a request waits for the delayed
 * acknowledgement of the one before, for about 40 ms.
 */
internal class ClientSocket : Socket() {
    private val responses = lazy { ResponseInputStream(super.getInputStream()) }
    private val requests = lazy { RequestOutputStream(super.getOutputStream(), responses.value) }

    @Volatile
    private var isRetired = false

    init {
        tcpNoDelay = true
    }

    /** Lets no further request be sent. */
    fun retire() {
        isRetired = true
    }

    override fun getInputStream(): InputStream = responses.value

    override fun getOutputStream(): OutputStream = requests.value

    /** True as well if no further response can be read. OkHttp asks before it reuses a socket. */
    override fun isInputShutdown(): Boolean =
        super.isInputShutdown() || isRetired || responses.isInitialized() && !isReusable()

    private fun isReusable(): Boolean =
        try {
            responses.value.isReusable
        } catch (_: IOException) {
            false
        }
}

private class RequestOutputStream(
    private val output: OutputStream,
    private val responses: ResponseInputStream
) : FilterOutputStream(output) {
    override fun write(byte: Int) = write(byteArrayOf(byte.toByte()), 0, 1)

    override fun write(bytes: ByteArray, offset: Int, length: Int) {
        val start = String(bytes, offset, minOf(length, HEAD.length), Charsets.ISO_8859_1)
        responses.requestSent(isHead = start == HEAD)
        output.write(bytes, offset, length)
    }

    private companion object {
        /** Start of a request whose response has no body. */
        const val HEAD = "HEAD "
    }
}

/** Creates a [ClientSocket] for each connection. */
internal object ClientSocketFactory : SocketFactory() {
    override fun createSocket(): Socket = ClientSocket()

    override fun createSocket(host: String, port: Int): Socket =
        connected(InetSocketAddress(host, port))

    override fun createSocket(
        host: String,
        port: Int,
        localHost: InetAddress,
        localPort: Int
    ): Socket =
        connected(InetSocketAddress(host, port), InetSocketAddress(localHost, localPort))

    override fun createSocket(host: InetAddress, port: Int): Socket =
        connected(InetSocketAddress(host, port))

    override fun createSocket(
        address: InetAddress,
        port: Int,
        localAddress: InetAddress,
        localPort: Int
    ): Socket =
        connected(InetSocketAddress(address, port), InetSocketAddress(localAddress, localPort))

    private fun connected(to: InetSocketAddress, from: InetSocketAddress? = null): Socket =
        ClientSocket().apply {
            from?.let(::bind)
            connect(to)
        }
}
