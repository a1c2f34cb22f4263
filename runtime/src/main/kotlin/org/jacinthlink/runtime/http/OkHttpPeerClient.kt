package org.jacinthlink.runtime.http

import java.io.IOException
import java.util.concurrent.TimeUnit
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.MediaType.Companion.toMediaTypeOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.jacinthlink.api.Headers

/**
 * Creates a client. [headers] are added to each call, as the sender's revision is.
 *
 * @param hasCallIds True for a client of processes of the system, which repeat the id of a call.
 */
fun peerClient(
    hasCallIds: Boolean = false,
    headers: () -> Map<String, String> = { emptyMap() }
): PeerClient = OkHttpPeerClient(headers, if (hasCallIds) callIds() else { -> null })

internal class OkHttpPeerClient(
    private val commonHeaders: () -> Map<String, String>,
    private val nextCallId: () -> String?
) : PeerClient {
    private val pooled = newClient(ConnectionPool(MAX_IDLE_CONNECTIONS, 30, TimeUnit.SECONDS))

    // Connections of this client are closed after one call.
    private val unpooled =
        pooled.newBuilder().connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS)).build()

    override fun call(call: PeerCall, timeoutMs: Long, fresh: Boolean): PeerResult {
        val monitor = CallMonitor(nextCallId())
        val client =
            (if (fresh) unpooled else pooled)
                .newBuilder()
                .callTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .connectTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .readTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .build()
        return try {
            client.newCall(request(call, monitor)).execute().use { answered(it, monitor) }
        } catch (e: IOException) {
            val failure = monitor.failure(e)
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
        val monitor = CallMonitor(nextCallId())
        val okCall =
            unpooled
                .newBuilder()
                .connectTimeout(connectTimeoutMs, TimeUnit.MILLISECONDS)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .build()
                .newCall(request(call, monitor))
        okCall.enqueue(LineReader(listener, monitor))
        return StreamCall { okCall.cancel() }
    }

    override fun close() {
        pooled.dispatcher.executorService.shutdown()
        pooled.connectionPool.evictAll()
    }

    private fun request(call: PeerCall, monitor: CallMonitor): Request {
        val builder = Request.Builder().url(call.url).tag(CallMonitor::class.java, monitor)
        (commonHeaders() + call.headers).forEach { (name, value) -> builder.header(name, value) }
        monitor.callId?.let { builder.header(Headers.CALL_ID, it) }
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
            .eventListenerFactory { call -> call.request().tag(CallMonitor::class.java)!! }
            .build()

    private companion object {
        val JSON = "application/json".toMediaType()
        const val MAX_IDLE_CONNECTIONS = 64
        const val MAX_STREAMS = 4_096
    }
}

private fun answered(response: Response, monitor: CallMonitor): PeerResult {
    monitor.checkAnswers()
    val text = response.boundedText()
    monitor.checkComplete(response)
    return PeerResult.Answered(response.code, response.headers.toMap(), text)
}

private class LineReader(private val listener: LineListener, private val monitor: CallMonitor) :
    Callback {
    override fun onFailure(call: Call, e: IOException) = listener.onFailure(monitor.failure(e))

    override fun onResponse(call: Call, response: Response) {
        try {
            response.use(::readLines)
            monitor.checkComplete(response)
            listener.onEnd()
        } catch (e: IOException) {
            listener.onFailure(monitor.failure(e))
        }
    }

    private fun readLines(response: Response) {
        monitor.checkAnswers()
        listener.onStart(response.code, response.headers.toMap())
        val source = response.body!!.source()
        while (true) listener.onLine(source.boundedLine() ?: return)
    }
}
