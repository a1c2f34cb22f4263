package org.jacinthlink.router.relay

/**
 * Ends a stream that this router cannot complete, with a response that says truthfully whether the
 * request may have run.
 *
 * @param onEnded Called with the status, 0 if the connection was closed, and the cause.
 */
internal class StreamEnding(
    private val request: RelayRequest,
    private val response: StreamResponse,
    private val onEnded: (status: Int, cause: String) -> Unit
) {
    /** Ends the stream because there will be no further attempt. */
    fun giveUp(cause: String, retryAfterMs: Long, mayHaveRun: Boolean) =
        when {
            response.hasSentHead -> abort(cause)
            mayHaveRun -> refuse(BAD_GATEWAY, cause)
            else -> refuse(UNAVAILABLE, cause, retryAfterMs)
        }

    /** Ends the stream at its deadline. */
    fun expire() = if (response.hasSentHead) abort(DEADLINE) else refuse(GATEWAY_TIMEOUT, DEADLINE)

    /** Forwards the error response that [attempt] has received. */
    fun forwardError(attempt: StreamAttempt) {
        val status = attempt.info.status
        request.exchange.respond(status, attempt.callerHeaders, attempt.errorBody.toByteArray())
        onEnded(status, "status of the server")
    }

    private fun abort(cause: String) {
        request.exchange.abort()
        onEnded(0, cause)
    }

    private fun refuse(status: Int, cause: String, retryAfterMs: Long? = null) {
        request.refuse(status, retryAfterMs)
        onEnded(status, cause)
    }

    private companion object {
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
        const val DEADLINE = "deadline"
    }
}
