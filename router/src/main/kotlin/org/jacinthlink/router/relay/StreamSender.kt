package org.jacinthlink.router.relay

import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.retry.StreamAttempts

/** Sends the attempts of one streamed request. */
internal class StreamSender(
    private val context: RelayContext,
    private val request: RelayRequest,
    private val attempts: StreamAttempts,
    private val response: StreamResponse,
    private val streamLog: StreamLog
) {
    /**
     * Creates an attempt over [path], and reserves its capacity.
     *
     * @param cause Why this attempt is made, for the log.
     */
    fun attempt(
        path: ServingPath,
        cause: String,
        nowMs: Long,
        listener: StreamAttemptListener
    ): StreamAttempt {
        if (attempts.count == 0) context.retryBudget.onFirstAttempt(nowMs)
        attempts.sent()
        streamLog.sent(path, cause, attempts.count, response, nowMs)
        val reservation = context.paths.reserve(path, request.expectedTokens, nowMs)
        return StreamAttempt(reservation, nowMs, listener)
    }

    /** Sends the request behind the last event that its caller has. [attempt] may fail at once. */
    fun send(attempt: StreamAttempt, nowMs: Long) {
        val path = attempt.path
        val usesFreshConnection = !request.route.isIdempotent
        val httpRequest =
            request.httpRequest(path.first, path, response.lastEventId, nowMs, usesFreshConnection)
        attempt.call = context.http.send(httpRequest, attempt)
        context.notices.throttle.recordSent(path.first.start, nowMs)
    }
}
