package org.jacinthlink.transport

/** Result of a call whose response is read completely. */
sealed interface BufferedResult {
    /** The complete response arrived. */
    data class Answered(val status: Int, val headers: List<HeaderField>, val text: String) :
        BufferedResult

    /** No complete response arrived; [cause] gives the reason. */
    data class Failed(val cause: String) : BufferedResult {
        /** True if the response would have needed more memory than it may take. */
        val isTooLarge: Boolean get() = cause == TOO_LARGE
    }

    companion object {
        /** Cause of the failure of a response that is too large. */
        internal const val TOO_LARGE = "response too large"
    }
}

/**
 * Sends [request] and calls [onResult] once, with the complete response or with a failure, after
 * [timeoutMs] at the latest. A response that is too large to be buffered is a failure, and so is
 * one that [answersRequest] denies to be the response to this request; its connection is closed.
 *
 * @param maxBytes Maximum size of the response's body, or null for what [http] can buffer.
 */
class BufferedCall(
    loop: EventLoop,
    private val http: HttpClient,
    private val request: ClientRequest,
    private val timeoutMs: Long,
    private val answersRequest: (BufferedResult.Answered) -> Boolean = { true },
    maxBytes: Int? = null,
    private val onResult: (BufferedResult) -> Unit
) : ClientListener {
    private val body = http.responseMemory.run { maxBytes?.let(::buffer) ?: buffer() }
    private var status = 0
    private var headers = emptyList<HeaderField>()
    private val call = http.send(request, this)
    private val timer = loop.schedule(timeoutMs, ::expire)

    override fun onHead(status: Int, headers: List<HeaderField>) {
        this.status = status
        this.headers = headers
    }

    override fun onBody(part: ByteArray) {
        if (!body.append(part)) fail(BufferedResult.TOO_LARGE)
    }

    override fun onComplete() {
        timer.cancel()
        body.release()
        val answer = BufferedResult.Answered(status, headers, body.text())
        if (answersRequest(answer)) {
            onResult(answer)
        } else {
            call.disown()
            onResult(BufferedResult.Failed(CallFailure.OTHER_ANSWER.name.lowercase()))
        }
    }

    private fun expire() {
        http.discardIdle(request.address)
        fail("no answer within $timeoutMs ms")
    }

    override fun onFailure(failure: CallFailure) = fail(failure.name.lowercase())

    private fun fail(cause: String) {
        timer.cancel()
        body.release()
        call.cancel()
        onResult(BufferedResult.Failed(cause))
    }
}
