package org.jacinthlink.transport

/**
 * A request to send.
 *
 * @property usesFreshConnection True if no kept connection may carry it.
 * @property connectTimeoutMs How long a new connection may take.
 */
class ClientRequest(
    val address: Address,
    val method: String,
    val target: String,
    val headers: List<HeaderField>,
    val body: ByteArray,
    val usesFreshConnection: Boolean = false,
    val connectTimeoutMs: Int = DEFAULT_CONNECT_TIMEOUT_MS
) {
    private companion object {
        const val DEFAULT_CONNECT_TIMEOUT_MS = 1_000
    }
}

/** A request that has been sent or is about to be. */
interface ClientCall {
    /** Closes the connection. The listener hears nothing more. */
    fun cancel()
}

/** Why a call ended without a whole answer. */
enum class CallFailure {
    /** No connection came about, so nothing was sent. */
    NOT_CONNECTED,

    /** A kept connection was closed by the other side before it answered a byte. */
    KEPT_CONNECTION_CLOSED,

    /** The connection ended before the whole answer had come. */
    CONNECTION_LOST,

    /** The bytes are no HTTP answer. */
    MALFORMED_ANSWER
}

/** Receives an answer on the event loop. */
interface ClientListener {
    /** Status and headers have come. */
    fun onHead(status: Int, headers: List<HeaderField>)

    /** A part of the body has come. */
    fun onBody(part: ByteArray)

    /** The answer is whole. */
    fun onComplete()

    /** The call has ended without a whole answer. */
    fun onFailure(failure: CallFailure)
}
