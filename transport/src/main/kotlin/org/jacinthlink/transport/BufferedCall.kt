package org.jacinthlink.transport

import java.io.ByteArrayOutputStream

/** Result of a call whose response is read completely. */
sealed interface BufferedResult {
    /** The complete response arrived. */
    data class Answered(val status: Int, val headers: List<HeaderField>, val text: String) :
        BufferedResult

    /** No complete response arrived; [cause] gives the reason. */
    data class Failed(val cause: String) : BufferedResult
}

/**
 * Sends [request] and calls [onResult] once, with the complete response or with a failure, after
 * [timeoutMs] at the latest.
 */
class BufferedCall(
    loop: EventLoop,
    http: HttpClient,
    request: ClientRequest,
    timeoutMs: Long,
    private val onResult: (BufferedResult) -> Unit
) : ClientListener {
    private val body = ByteArrayOutputStream()
    private var status = 0
    private var headers = emptyList<HeaderField>()
    private val call = http.send(request, this)
    private val timer = loop.schedule(timeoutMs) {
        call.cancel()
        onResult(BufferedResult.Failed("no answer within $timeoutMs ms"))
    }

    override fun onHead(status: Int, headers: List<HeaderField>) {
        this.status = status
        this.headers = headers
    }

    override fun onBody(part: ByteArray) {
        body.write(part)
    }

    override fun onComplete() {
        timer.cancel()
        onResult(BufferedResult.Answered(status, headers, body.toString(Charsets.UTF_8)))
    }

    override fun onFailure(failure: CallFailure) {
        timer.cancel()
        onResult(BufferedResult.Failed(failure.name.lowercase()))
    }
}
