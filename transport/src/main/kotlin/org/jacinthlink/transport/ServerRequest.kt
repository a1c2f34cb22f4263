package org.jacinthlink.transport

/**
 * A request that a server has read whole.
 *
 * @property target Path and query as they stand in the request line.
 * @property receivedAtMs When its last byte was read.
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

/** Answer to one request. All calls are made on the event loop. */
interface ServerExchange {
    /** False once the client has closed the connection or the answer has ended. */
    val isOpen: Boolean

    /** Called once if the client closes the connection before the answer has ended. */
    fun onClientClosed(listener: () -> Unit)

    /** Sends a whole answer. */
    fun respond(status: Int, headers: List<HeaderField>, body: ByteArray)

    /** Sends status and headers of an answer whose length is not known. */
    fun startStream(status: Int, headers: List<HeaderField>)

    /** Sends a part of a streamed answer. */
    fun write(part: ByteArray)

    /** Ends a streamed answer as complete. */
    fun endStream()

    /** Closes the connection, so that a streamed answer does not look complete. */
    fun abort()
}

/** Receives the requests of a server. */
fun interface ServerHandler {
    /** Handles [request] on the event loop and answers through [exchange]. */
    fun handle(request: ServerRequest, exchange: ServerExchange)
}

/**
 * What a client may send and how long it may take.
 *
 * @property maxHeaderBytes Size of all header fields.
 * @property maxBodyBytes Size of a body.
 * @property requestTimeoutMs From the first byte of a request to its last.
 * @property idleTimeoutMs Without a request on a kept connection.
 */
data class ServerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val requestTimeoutMs: Long,
    val idleTimeoutMs: Long
)
