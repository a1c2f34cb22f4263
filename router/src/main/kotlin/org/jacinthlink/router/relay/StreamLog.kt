package org.jacinthlink.router.relay

import org.jacinthlink.decision.paths.ServingPath

/** Log lines and counters of one streamed request. */
internal class StreamLog(private val context: RelayContext, private val job: RelayRequest) {
    /** The request goes out over [path]; [number] counts its sends from 1. */
    fun sent(path: ServingPath, cause: String, number: Int, answer: StreamAnswer, nowMs: Long) {
        if (number == 1) {
            context.metrics.queued(nowMs - job.startedAtMs)
        } else {
            context.metrics.retried(cause)
        }
        context.log.event(
            "sent",
            "request" to job.id,
            "route" to job.route.name,
            "path" to path.id,
            "server" to path.first.instanceId,
            "cause" to cause,
            "send" to number,
            "after_event" to answer.lastEventId,
            "tokens" to job.expectedTokens,
            "left_ms" to job.endsAtMs - nowMs,
            "configuration" to job.configurationVersion
        )
    }

    /** A server has turned [send] away. */
    fun notRun(send: StreamSend) {
        context.log.event(
            "not_run",
            "request" to job.id,
            "path" to send.path.id,
            "status" to send.info.status,
            "at" to send.info.faultyServer,
            "age_ms" to context.clockMs() - send.startedAtMs
        )
    }

    /** [send] has ended without a whole answer. */
    fun failed(send: StreamSend, cause: String, answer: StreamAnswer) {
        context.log.event(
            "send_failed",
            "request" to job.id,
            "path" to send.path.id,
            "cause" to cause,
            "events" to answer.eventCount,
            "silent_ms" to context.clockMs() - send.lastActivityAtMs
        )
    }

    /** The request has ended; [status] is 0 if its connection was closed. */
    fun ended(status: Int, cause: String, sends: Int, answer: StreamAnswer) {
        context.metrics.ended("stream", status, cause)
        context.metrics.longestGap(answer.longestGapMs)
        context.log.event(
            "ended",
            "request" to job.id,
            "route" to job.route.name,
            "status" to status,
            "cause" to cause,
            "events" to answer.eventCount,
            "sends" to sends,
            "first_ms" to answer.firstEventAtMs?.let { it - job.startedAtMs },
            "gap_ms" to answer.longestGapMs,
            "ms" to context.clockMs() - job.startedAtMs
        )
    }
}
