package org.jacinthlink.transport

/**
 * The field by which a response names the request that it answers.
 *
 * A response without the field is accepted only as the first one of its connection, because no
 * other request can have caused it.
 *
 * @property value Value that the response must have exactly once, or null if it must have none.
 */
data class ResponseId(val fieldName: String, val value: String?)

/** Which connection may carry a request. */
enum class ConnectionUse {
    /** A pooled connection if there is one, which returns to the pool. */
    SHARED,

    /** A new connection, which may serve further requests. */
    FRESH,

    /** A new connection that serves no other request, so that each response answers this one. */
    EXCLUSIVE
}

/**
 * A request to send.
 *
 * @property connectionUse Which connection may carry the request.
 * @property connectTimeoutMs Time limit for opening a new connection.
 * @property responseId What tells the response from those to other requests, or null if nothing
 *   does.
 */
class ClientRequest(
    val address: Address,
    val method: String,
    val target: String,
    val headers: List<HeaderField>,
    val body: ByteArray,
    val connectionUse: ConnectionUse = ConnectionUse.SHARED,
    val connectTimeoutMs: Int = DEFAULT_CONNECT_TIMEOUT_MS,
    val responseId: ResponseId? = null
) {
    private companion object {
        const val DEFAULT_CONNECT_TIMEOUT_MS = 1_000
    }
}

/** A request that has been sent or is about to be sent. */
interface ClientCall {
    /** Closes the connection. The listener is not called any more. */
    fun cancel()

    /**
     * Closes the connection of a complete response that turns out to answer another request: the
     * response to this one is still to come on it. Only [ClientListener.onComplete] may call this.
     */
    fun disown()

    /** Stops reading the response from the network, or continues. */
    fun setReading(isReading: Boolean)
}

/** Reason why a call ended without a complete response. */
enum class CallFailure {
    /** No connection could be opened, so nothing was sent. */
    NOT_CONNECTED,

    /** The server closed a pooled connection before the head of its response arrived. */
    KEPT_CONNECTION_CLOSED,

    /** The connection ended before the complete response had arrived. */
    CONNECTION_LOST,

    /** The received bytes are not an HTTP response. */
    MALFORMED_ANSWER,

    /** The response has not the id of the request, so it may belong to another one. */
    OTHER_ANSWER
}

/** Receives a response on the event loop. */
interface ClientListener {
    /** Status and headers have arrived. */
    fun onHead(status: Int, headers: List<HeaderField>)

    /** A part of the body has arrived. */
    fun onBody(part: ByteArray)

    /** The response is complete. */
    fun onComplete()

    /** The call has ended without a complete response. */
    fun onFailure(failure: CallFailure)
}
