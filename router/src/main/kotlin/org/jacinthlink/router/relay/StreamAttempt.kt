package org.jacinthlink.router.relay

import java.io.ByteArrayOutputStream
import java.time.Instant
import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.platform.forward.ResponseInfo
import org.jacinthlink.platform.forward.clientHeaders
import org.jacinthlink.platform.forward.responseInfo
import org.jacinthlink.transport.CallFailure
import org.jacinthlink.transport.ClientCall
import org.jacinthlink.transport.ClientListener
import org.jacinthlink.transport.HeaderField

/** Callbacks for the progress and the outcome of an attempt. */
internal interface StreamAttemptListener {
    /** Called when status and headers have been received. */
    fun onHead(attempt: StreamAttempt)

    /** Called for the events that each part of a response with status 200 completes. */
    fun onEvents(attempt: StreamAttempt, events: List<StreamEvent>)

    /** Called when what follows in the response cannot belong to it, because of [cause]. */
    fun onInvalidBody(attempt: StreamAttempt, cause: String)

    /** Called when the response is complete. */
    fun onComplete(attempt: StreamAttempt)

    /** Called when the attempt has ended without a complete response. */
    fun onFailure(attempt: StreamAttempt, failure: CallFailure)
}

/** One attempt of a streamed request; [reservation] is the capacity that it takes of a path. */
internal class StreamAttempt(
    val reservation: PathReservation,
    val startedAtMs: Long,
    private val listener: StreamAttemptListener
) : ClientListener {
    /** Path over which the request is sent. */
    val path: ServingPath get() = reservation.path

    /** HTTP call of this attempt, or null before it is sent. */
    var call: ClientCall? = null

    /** Status and platform headers of the response; set before any part of the body. */
    lateinit var info: ResponseInfo
        private set

    /** Response headers that are forwarded to the caller. */
    var callerHeaders = emptyList<HeaderField>()
        private set

    /** Splits the response body into events. */
    val splitter = EventSplitter()

    /** Body of a response whose status is not 200. */
    val errorBody = ByteArrayOutputStream()

    /** True if the server has sent more bytes than an event or an error response may have. */
    val isOversized: Boolean
        get() = splitter.pendingBytes > MAX_EVENT_BYTES || errorBody.size() > MAX_ERROR_BYTES

    /** Time of the last new event, or of the start of the attempt if there is none. */
    var lastActivityAtMs = startedAtMs
        private set

    /** Id of the newest event, or null. */
    private var newestId: Long? = null

    /** True once an event has been received. */
    var hasEvents = false

    /** True if the connection was lost before the response was complete. */
    var wasInterrupted = false

    /** Why the stream last stayed on the path although a server is unresponsive, or null. */
    var obstacle: MoveObstacle? = null

    /** True if no byte of the request was sent. */
    var wasUnsent = false

    /**
     * Records [events] at [nowMs]. Only an event with a higher id than those before is activity:
     * a server that sends others without end does not work on the request.
     */
    fun received(events: List<StreamEvent>, nowMs: Long) {
        val lastId = newestId ?: Long.MIN_VALUE
        val id = events.mapNotNull { it.id }.maxOrNull() ?: return
        if (id <= lastId) return
        newestId = id
        lastActivityAtMs = nowMs
    }

    override fun onHead(status: Int, headers: List<HeaderField>) {
        info = responseInfo(status, headers, Instant.now())
        callerHeaders = clientHeaders(headers)
        listener.onHead(this)
    }

    override fun onBody(part: ByteArray) {
        if (info.status == OK) streamReceived(part) else errorBody.write(part)
        if (isOversized) listener.onInvalidBody(this, "oversized event")
    }

    private fun streamReceived(part: ByteArray) {
        val events = splitter.feed(part)
        val ownEvents = events.takeWhile { !it.isForeign }
        listener.onEvents(this, ownEvents)
        // Events after the foreign bytes may belong to another request too.
        if (ownEvents.size < events.size) listener.onInvalidBody(this, "foreign bytes")
    }

    override fun onComplete() = listener.onComplete(this)

    override fun onFailure(failure: CallFailure) = listener.onFailure(this, failure)

    private companion object {
        const val OK = 200

        /** Events hold a few tokens, and error responses a short text. */
        const val MAX_EVENT_BYTES = 64 * 1_024
        const val MAX_ERROR_BYTES = 64 * 1_024
    }
}
