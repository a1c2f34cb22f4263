package org.jacinthlink.router.relay

import java.io.ByteArrayOutputStream
import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.platform.forward.ResponseInfo
import org.jacinthlink.platform.forward.responseInfo
import org.jacinthlink.platform.forward.clientHeaders
import org.jacinthlink.transport.CallFailure
import org.jacinthlink.transport.ClientCall
import org.jacinthlink.transport.ClientListener
import org.jacinthlink.transport.HeaderField

/** Hears what becomes of a send. */
internal interface StreamSendListener {
    /** Status and headers have come. */
    fun onHead(send: StreamSend)

    /** A part of a successful answer has come. */
    fun onPart(send: StreamSend, part: ByteArray)

    /** The answer is whole. */
    fun onComplete(send: StreamSend)

    /** The send has ended without a whole answer. */
    fun onFailure(send: StreamSend, failure: CallFailure)
}

/** One send of a streamed request, which takes [use] of a path. */
internal class StreamSend(
    val use: PathUse,
    val startedAtMs: Long,
    private val listener: StreamSendListener
) : ClientListener {
    /** The path that it passes through. */
    val path: ServingPath get() = use.path

    /** The call that carries it. */
    var call: ClientCall? = null

    /** Status and platform headers of the answer; set before any part of it is reported. */
    lateinit var info: ResponseInfo
        private set

    /** Headers of the answer that go to the caller. */
    var callerHeaders = emptyList<HeaderField>()
        private set

    /** Cuts the answer into events. */
    val splitter = EventSplitter()

    /** Body of an answer that is no success. */
    val errorBody = ByteArrayOutputStream()

    /** When the path last gave a sign of life. */
    var lastActivityAtMs = startedAtMs

    /** True once an event has come. */
    var hasEvents = false

    /** True if the server broke the answer off. */
    var wasCut = false

    /** True if no byte of the request was sent. */
    var wasUnsent = false

    override fun onHead(status: Int, headers: List<HeaderField>) {
        info = responseInfo(status, headers)
        callerHeaders = clientHeaders(headers)
        listener.onHead(this)
    }

    override fun onBody(part: ByteArray) {
        if (info.status == OK) listener.onPart(this, part) else errorBody.write(part)
    }

    override fun onComplete() = listener.onComplete(this)

    override fun onFailure(failure: CallFailure) = listener.onFailure(this, failure)

    private companion object {
        const val OK = 200
    }
}
