package org.jacinthlink.router.relay

import org.jacinthlink.decision.paths.ServingPath

/** Writes the log lines and the metrics of one streamed request. */
internal class StreamLog(private val context: RelayContext, private val job: RelayRequest) {
    /** Records an attempt over [path]; [number] counts the attempts from 1. */
    fun sent(path: ServingPath, cause: String, number: Int, answer: StreamAnswer, nowMs: Long) {
        if (number == 1) {
            context.metrics.queued(nowMs - job.startedAtMs)
        } else {
            context.metrics.repeated(cause)
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

    /** Records that a server refused [send] without running it. */
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

    /** Records that [send] ended without a complete response. */
    fun failed(send: StreamSend, cause: String, answer: StreamAnswer) {
        context.log.event(
            "send_failed",
            "request" to job.id,
            "path" to send.path.id,
            "cause" to cause,
            "events" to answer.eventCount,
            "silent_ms" to context.clockMs() - send.lastSignAtMs
        )
    }

    /** Records the end of the request; [status] is 0 if its connection was closed. */
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
