package org.jacinthlink.transport

/**
 * A request that a server has read completely.
 *
 * @property target Path and query as given in the request line.
 * @property receivedAtMs Time at which the last byte was read, in Unix milliseconds.
 */
class ServerRequest(
    val method: String,
    val target: String,
    val headers: List<HeaderField>,
    val body: ByteArray,
    val receivedAtMs: Long
) {
    /** The part of [target] before the query. */
    val path: String get() = target.substringBefore('?')
}

/** Sends the response to one request. It must be used on the event loop only. */
interface ServerExchange {
    /** False once the client has closed the connection or the response has ended. */
    val isOpen: Boolean

    /** False while the client reads more slowly than the response is written. */
    val isWritable: Boolean

    /** Calls [listener] whenever [isWritable] becomes true again. */
    fun onWritable(listener: () -> Unit)

    /** Calls [listener] once if the client closes the connection before the response has ended. */
    fun onClientClosed(listener: () -> Unit)

    /** Sends a complete response. */
    fun respond(status: Int, headers: List<HeaderField>, body: ByteArray)

    /** Sends status and headers of a response of unknown length. */
    fun startStream(status: Int, headers: List<HeaderField>)

    /** Sends a part of a streamed response. */
    fun write(part: ByteArray)

    /** Ends a streamed response as complete. */
    fun endStream()

    /** Closes the connection, so that the client detects that a streamed response is incomplete. */
    fun abort()

    /** Answers with [status], or cuts the response if it has started. */
    fun fail(status: Int)

    /**
     * Answers with [status] and [headers], or cuts the response if it has started. Then notifies
     * the listener of [onClientClosed], because whoever holds the request can no longer answer it.
     */
    fun withdraw(status: Int, headers: List<HeaderField>)
}

/** Receives the requests of a server. */
fun interface ServerHandler {
    /** Handles [request] on the event loop and responds through [exchange]. */
    fun handle(request: ServerRequest, exchange: ServerExchange)

    /**
     * Handles [request], and answers it with status 500 if that fails. The status leaves open
     * whether the request has run.
     */
    fun handleGuarded(request: ServerRequest, exchange: ServerExchange) {
        try {
            handle(request, exchange)
        } catch (e: Throwable) {
            // Netty would close the connection without an answer.
            reportFailure("handler of ${request.method} ${request.path}", e)
            exchange.fail(INTERNAL_ERROR)
        }
    }

    /**
     * Refuses [request], which has not been read completely because there is no memory for it. Its
     * body is empty. The response must be sent before this returns.
     */
    fun refuse(request: ServerRequest, exchange: ServerExchange) = exchange.fail(UNAVAILABLE)

    /** Refuses [request] in any case. */
    fun refuseGuarded(request: ServerRequest, exchange: ServerExchange) {
        try {
            refuse(request, exchange)
        } catch (e: Exception) {
            reportFailure("refusal of ${request.method} ${request.path}", e)
        }
        if (exchange.isOpen) exchange.fail(UNAVAILABLE)
    }

    private companion object {
        const val INTERNAL_ERROR = 500
        const val UNAVAILABLE = 503
    }
}

/**
 * Limits on the size and the duration of a client's requests.
 *
 * @property maxHeaderBytes Maximum total size of the header fields.
 * @property maxBodyBytes Maximum size of a body.
 * @property requestTimeoutMs Maximum time from the first byte of a request to its last.
 * @property idleTimeoutMs Maximum time without a request on a persistent connection.
 */
data class ServerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val requestTimeoutMs: Long,
    val idleTimeoutMs: Long
)
