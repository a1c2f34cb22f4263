package org.jacinthlink.runtime.http

import java.io.IOException
import java.net.InetSocketAddress
import java.net.ProtocolException
import java.net.Proxy
import java.util.UUID
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import okhttp3.Call
import okhttp3.Connection
import okhttp3.EventListener
import okhttp3.Response
import org.jacinthlink.api.Headers

/**
 * Notes whether any byte of a request was written, whether all of them were, and whether the
 * response is one to this call.
 *
 * @property callId Id that the response must repeat, or null if the server repeats none.
 */
internal class CallMonitor(val callId: String?) : EventListener() {
    private val sent = AtomicBoolean(false)
    private val writeFailed = AtomicBoolean(false)
    private val answersOther = AtomicBoolean(false)

    @Volatile private var isFirstOfConnection = false

    @Volatile private var socket: ClientSocket? = null

    override fun connectStart(call: Call, inetSocketAddress: InetSocketAddress, proxy: Proxy) {
        isFirstOfConnection = true
    }

    override fun connectionAcquired(call: Call, connection: Connection) {
        socket = connection.socket() as? ClientSocket
    }

    override fun requestHeadersStart(call: Call) = sent.set(true)

    override fun requestFailed(call: Call, ioe: IOException) = writeFailed.set(true)

    /**
     * Compares the id. Only the first response of a connection is surely the one to its call
     * without an id; further ones could not be told apart, so the connection is not used again.
     */
    override fun responseHeadersEnd(call: Call, response: Response) {
        val expected = callId ?: return
        val ids = response.headers.values(Headers.CALL_ID)
        if (ids == listOf(expected)) return
        answersOther.set(ids.isNotEmpty() || !isFirstOfConnection)
        socket?.retire()
    }

    /** Throws if the response is one to another call. */
    fun checkAnswers() {
        if (answersOther.get()) throw ProtocolException("a response to another call")
    }

    /**
     * Throws if [response], all of which has been read, may be incomplete.
     *
     * OkHttp reads the response even if the request could not be written completely. The failed
     * write may have consumed the error of a reset connection, and its end then looks regular.
     */
    fun checkComplete(response: Response) {
        val endsWithConnection =
            response.body!!.contentLength() == UNKNOWN_LENGTH &&
                response.header("Transfer-Encoding") == null
        if (writeFailed.get() && endsWithConnection) {
            throw IOException("connection lost while the request was sent")
        }
    }

    fun failure(cause: IOException): PeerResult {
        val message = "${cause.javaClass.simpleName}: ${cause.message}"
        return if (sent.get()) PeerResult.Unknown(message) else PeerResult.NotSent(message)
    }

    private companion object {
        const val UNKNOWN_LENGTH = -1L
    }
}

/** Creates a source of ids that differ between calls and between processes. */
internal fun callIds(): () -> String {
    val prefix = UUID.randomUUID().toString()
    val last = AtomicLong()
    return { "$prefix-${last.incrementAndGet()}" }
}
