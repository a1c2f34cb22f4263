package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.ServerStart
import org.jacinthlink.decision.limits.ServerRateLimits
import org.jacinthlink.decision.limits.ServiceDemand
import org.jacinthlink.decision.limits.serverRateLimits
import org.jacinthlink.decision.limits.serviceDemand
import org.jacinthlink.decision.retry.ServerPauses
import org.jacinthlink.decision.retry.serverPauses

/** When backend servers take further requests from this router. */
internal class ServerThrottle(
    val pauses: ServerPauses = serverPauses(),
    val limits: ServerRateLimits = serverRateLimits(),
    val demand: ServiceDemand = serviceDemand()
) {
    /** True if a request may be sent to [server]. */
    fun allows(server: ServerStart, nowMs: Long): Boolean =
        pauses.allows(server, nowMs) && limits.allows(server, nowMs)

    /** Records that a request has been sent to [server]. */
    fun recordSent(server: ServerStart, nowMs: Long) {
        pauses.recordSent(server, nowMs)
        limits.recordSent(server, nowMs)
    }

    /** Time until a request may be sent to [server]; 0 if it may be sent now. */
    fun remainingMs(server: ServerStart, nowMs: Long): Long =
        maxOf(pauses.remainingMs(server, nowMs), limits.remainingMs(server, nowMs))
}
