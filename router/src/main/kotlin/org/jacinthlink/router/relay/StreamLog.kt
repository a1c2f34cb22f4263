package org.jacinthlink.router.relay

import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.retry.MoveReason

/** Writes the log lines and the metrics of one streamed request. */
internal class StreamLog(private val context: RelayContext, private val request: RelayRequest) {
    /** Records an attempt over [path]; [number] counts the attempts from 1. */
    fun sent(path: ServingPath, cause: String, number: Int, response: StreamResponse, nowMs: Long) {
        if (number > 1) context.metrics.retried(cause)
        context.log.event(
            "sent",
            "request" to request.id,
            "route" to request.route.name,
            "path" to path.id,
            "server" to path.first.instanceId,
            "cause" to cause,
            "send" to number,
            "after_event" to response.lastEventId,
            "tokens" to request.expectedTokens,
            "parts" to request.info.promptParts.joinToString(",").ifEmpty { null },
            "left_ms" to request.endsAtMs - nowMs,
            "configuration" to request.configurationVersion
        )
    }

    /** Records that a server refused [attempt] without running it. */
    fun notRun(attempt: StreamAttempt) {
        context.log.event(
            "not_run",
            "request" to request.id,
            "path" to attempt.path.id,
            "status" to attempt.info.status,
            "at" to attempt.info.faultyServer,
            "age_ms" to context.clockMs() - attempt.startedAtMs
        )
    }

    /** Records that [attempt] stays on its path because of [obstacle]. */
    fun stays(attempt: StreamAttempt, obstacle: MoveObstacle, nowMs: Long) {
        if (attempt.obstacle == obstacle) return
        attempt.obstacle = obstacle
        context.log.event(
            "stays",
            "request" to request.id,
            "path" to attempt.path.id,
            "obstacle" to obstacle.name.lowercase(),
            "silent_ms" to nowMs - attempt.lastActivityAtMs
        )
    }

    /** Records that [attempt] ended without a complete response. */
    fun failed(attempt: StreamAttempt, cause: String, response: StreamResponse) {
        context.log.event(
            "send_failed",
            "request" to request.id,
            "path" to attempt.path.id,
            "cause" to cause,
            "events" to response.eventCount,
            "begun" to attempt.hasEvents,
            "silent_ms" to context.clockMs() - attempt.lastActivityAtMs
        )
    }

    /** Records the end of the request; [status] is 0 if its connection was closed. */
    fun ended(status: Int, cause: String, attemptCount: Int, response: StreamResponse) {
        context.metrics.ended("stream", status, cause)
        context.metrics.longestGap(response.longestGapMs)
        context.log.event(
            "ended",
            "request" to request.id,
            "route" to request.route.name,
            "status" to status,
            "cause" to cause,
            "events" to response.eventCount,
            "sends" to attemptCount,
            "first_ms" to response.firstEventAtMs?.let { it - request.startedAtMs },
            "gap_ms" to response.longestGapMs,
            "ms" to context.clockMs() - request.startedAtMs
        )
    }
}

/** Name of a reason in logs and metrics. */
internal val MoveReason.label: String
    get() = when (this) {
        MoveReason.ServerLeaves -> "server leaves"
        MoveReason.ServerSilent -> "server silent"
        MoveReason.SlowToBegin -> "slow to begin"
    }
