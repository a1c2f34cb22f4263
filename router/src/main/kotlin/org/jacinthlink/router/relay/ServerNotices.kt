package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.limits.RateLimitNotice
import org.jacinthlink.decision.limits.TimedNotice
import org.jacinthlink.platform.forward.ResponseInfo
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.state.ServerRegistry

/** Records what backend servers say about themselves in the headers of their responses. */
internal class ServerNotices(
    private val servers: ServerRegistry,
    val throttle: ServerThrottle,
    private val log: DecisionLog,
    private val clockMs: () -> Long
) {
    /** Records the notices in a response of [server]. */
    fun record(server: BackendServer, info: ResponseInfo) {
        if (info.isServerDraining) servers.recordDraining(server.start, "response")
        recordRateLimit(server, TimedNotice(info.rateLimit, clockMs()), "response")
        info.retryAfterMs?.let { pause(server, it) }
        val faulty = info.faultyServer?.let(servers::at)
        if (faulty != null && faulty.start != server.start) {
            info.retryAfterMs?.let { pause(faulty, it) }
        }
    }

    /** Records a [notice] of [server]; [source] is `response`, or the peer that reports it. */
    fun recordRateLimit(server: BackendServer, notice: TimedNotice, source: String) {
        if (!throttle.limits.record(server.start, server.service, notice)) return
        log.event(
            "server_rate_limit",
            "server" to server.instanceId,
            "per_s" to ((notice.notice as? RateLimitNotice.Limited)?.requestsPerS ?: "none"),
            "source" to source
        )
    }

    private fun pause(server: BackendServer, durationMs: Long) {
        throttle.pauses.pause(server.start, durationMs, clockMs())
        log.event("server_paused", "server" to server.instanceId, "ms" to durationMs)
    }
}
