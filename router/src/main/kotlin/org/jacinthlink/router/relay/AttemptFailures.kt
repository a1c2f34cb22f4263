package org.jacinthlink.router.relay

import org.jacinthlink.platform.forward.ResponseInfo
import org.jacinthlink.transport.CallFailure

/** Records how attempts of one streamed request failed, and has their servers checked. */
internal class AttemptFailures(
    private val context: RelayContext,
    private val request: RelayRequest,
    private val pathSelection: PathSelection
) {
    /** Attempts that were lost before their servers had begun to answer. */
    private var lossesBeforeBegun = 0

    /** Records that the call of [attempt] has ended with [failure]. */
    fun callFailed(attempt: StreamAttempt, failure: CallFailure) {
        val first = attempt.path.first
        when (failure) {
            CallFailure.NOT_CONNECTED -> {
                attempt.wasUnsent = true
                context.failureDetector.check(first, "not connected")
            }
            CallFailure.CONNECTION_LOST -> {
                attempt.wasInterrupted = true
                context.failureDetector.check(first, "connection lost")
            }
            CallFailure.KEPT_CONNECTION_CLOSED -> {
                attempt.wasInterrupted = true
                context.failureDetector.check(first, "kept connection closed")
            }
            CallFailure.MALFORMED_ANSWER, CallFailure.OTHER_ANSWER -> Unit
        }
    }

    /**
     * Records that [attempt], of which its servers may have run a part, has failed or is no longer
     * needed.
     */
    fun attemptFailed(attempt: StreamAttempt) {
        if (attempt.wasUnsent) return
        pathSelection.recordFailure(attempt)
        if (attempt.wasInterrupted && !attempt.hasEvents) lossesBeforeBegun++
        recordLoss(attempt)
    }

    /** Records that a server of [attempt], which is still open, does not answer. */
    fun serverSilent(attempt: StreamAttempt) = recordLoss(attempt)

    private fun recordLoss(attempt: StreamAttempt) {
        if (attempt.hasEvents) return
        context.contents.attemptLost(
            attempt.path,
            request.content,
            attempt.wasInterrupted,
            context.clockMs()
        )
    }

    /**
     * True if the request itself may have ended the server of [attempt]. The reports on the server
     * show soon whether the request may be sent again.
     */
    fun isSuspect(attempt: StreamAttempt): Boolean =
        attempt.wasInterrupted &&
            !attempt.hasEvents &&
            (lossesBeforeBegun > 1 || context.contents.isSuspect(request.content))

    /** Has the server checked that [info], a response without a run, names as faulty. */
    fun checkFaultyServer(info: ResponseInfo) {
        val server = info.faultyServer?.let { context.servers.at(it) } ?: return
        if (info.status == UNAVAILABLE) {
            context.failureDetector.checkHealth(server, "turned away a request")
        } else {
            context.failureDetector.check(server, "named by its path")
        }
    }

    private companion object {
        const val UNAVAILABLE = 503
    }
}
