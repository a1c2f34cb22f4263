package org.jacinthlink.runtime.http

import java.io.IOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.EventListener
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.MediaType.Companion.toMediaTypeOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response

/** Creates a client. [headers] are added to each call, as the sender's revision is. */
fun peerClient(headers: () -> Map<String, String> = { emptyMap() }): PeerClient =
    OkHttpPeerClient(headers)

internal class OkHttpPeerClient(private val commonHeaders: () -> Map<String, String>) :
    PeerClient {
    private val pooled = newClient(ConnectionPool(MAX_IDLE_CONNECTIONS, 30, TimeUnit.SECONDS))

    // Connections of this client are closed after one call.
    private val unpooled =
        pooled.newBuilder().connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS)).build()

    override fun call(call: PeerCall, timeoutMs: Long, fresh: Boolean): PeerResult {
        val sent = SentMarker()
        val client =
            (if (fresh) unpooled else pooled)
                .newBuilder()
                .callTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .connectTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .readTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .build()
        return try {
            client.newCall(request(call, sent)).execute().use { answered(it, sent) }
        } catch (e: IOException) {
            val failure = sent.failure(e)
            // Other idle connections to the peer may be as silent as this one. A refused connection
            // says nothing about them, and closing them for it would cost all other peers theirs.
            if (failure is PeerResult.Unknown) pooled.connectionPool.evictAll()
            failure
        }
    }

    override fun stream(
        call: PeerCall,
        connectTimeoutMs: Long,
        listener: LineListener
    ): StreamCall {
        val sent = SentMarker()
        val okCall =
            unpooled
                .newBuilder()
                .connectTimeout(connectTimeoutMs, TimeUnit.MILLISECONDS)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .build()
                .newCall(request(call, sent))
        okCall.enqueue(LineReader(listener, sent))
        return StreamCall { okCall.cancel() }
    }

    override fun close() {
        pooled.dispatcher.executorService.shutdown()
        pooled.connectionPool.evictAll()
    }

    private fun request(call: PeerCall, sent: SentMarker): Request {
        val builder = Request.Builder().url(call.url).tag(SentMarker::class.java, sent)
        (commonHeaders() + call.headers).forEach { (name, value) -> builder.header(name, value) }
        return builder.method(call.method, bodyOf(call)).build()
    }

    private fun bodyOf(call: PeerCall): RequestBody? =
        when {
            call.body != null -> call.body.toByteArray().toRequestBody(contentType(call))
            call.method in setOf("POST", "PUT", "PATCH") -> "".toRequestBody(JSON)
            else -> null
        }

    private fun contentType(call: PeerCall) =
        call.headers.entries.firstOrNull { it.key.equals("content-type", ignoreCase = true) }
            ?.value
            ?.toMediaTypeOrNull()
            ?: JSON

    private fun newClient(pool: ConnectionPool) =
        OkHttpClient.Builder()
            .dispatcher(
                Dispatcher().apply {
                    maxRequests = MAX_STREAMS
                    maxRequestsPerHost = MAX_STREAMS
                }
            )
            .connectionPool(pool)
            .retryOnConnectionFailure(false)
            .socketFactory(ClientSocketFactory)
            .followRedirects(false)
            .eventListenerFactory { call -> call.request().tag(SentMarker::class.java)!! }
            .build()

    private companion object {
        val JSON = "application/json".toMediaType()
        const val MAX_IDLE_CONNECTIONS = 64
        const val MAX_STREAMS = 4_096
    }
}

/** Notes whether any byte of a request was written, and whether all of them were. */
private class SentMarker : EventListener() {
    private val sent = AtomicBoolean(false)
    private val writeFailed = AtomicBoolean(false)

    override fun requestHeadersStart(call: Call) = sent.set(true)

    override fun requestFailed(call: Call, ioe: IOException) = writeFailed.set(true)

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
}

private fun answered(response: Response, sent: SentMarker): PeerResult {
    val text = response.boundedText()
    sent.checkComplete(response)
    return PeerResult.Answered(response.code, response.headers.toMap(), text)
}

private class LineReader(private val listener: LineListener, private val sent: SentMarker) :
    Callback {
    override fun onFailure(call: Call, e: IOException) = listener.onFailure(sent.failure(e))

    override fun onResponse(call: Call, response: Response) {
        try {
            response.use(::readLines)
            sent.checkComplete(response)
            listener.onEnd()
        } catch (e: IOException) {
            listener.onFailure(sent.failure(e))
        }
    }

    private fun readLines(response: Response) {
        listener.onStart(response.code, response.headers.toMap())
        val source = response.body!!.source()
        while (true) listener.onLine(source.boundedLine() ?: return)
    }
}

private const val UNKNOWN_LENGTH = -1L
