package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.plain.AttemptEnd
import org.jacinthlink.decision.plain.plainServers
import org.jacinthlink.platform.forward.ResponseInfo
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.peers.PlainLoad
import org.jacinthlink.router.state.ServerRegistry

/** Distributes the requests of plain services over their servers, within the servers' limits. */
internal class PlainLoadBalancer(
    private val registry: ServerRegistry,
    private val throttle: ServerThrottle,
    private val log: DecisionLog
) {
    /** Use of the servers of all plain services. */
    val servers = plainServers()

    /** Requests of this router in flight, for its peers. */
    val loads: List<PlainLoad>
        get() = servers.inFlight.mapNotNull { (start, inFlight) ->
            registry.byId(start.instanceId)
                ?.let { PlainLoad(it.service, start.instanceId, start.bornAtMs, inFlight) }
        }

    /** Servers of [service] that accept requests. */
    fun ready(service: String): List<BackendServer> = registry.ready(service)

    /** Those of [ready] that take a request now. */
    fun usable(ready: List<BackendServer>, nowMs: Long): List<BackendServer> =
        ready.filter { throttle.allows(it.start, nowMs) }

    /** Returns the server of [candidates] for the next attempt, or null if there are none. */
    fun choose(candidates: List<BackendServer>, nowMs: Long): BackendServer? =
        servers.choose(candidates, nowMs)

    /** Records that a request was sent to [server]. */
    fun started(server: BackendServer) = servers.started(server)

    /** Records how a request to [server] ended. */
    fun ended(server: BackendServer, end: AttemptEnd, isWaiting: Boolean, nowMs: Long) {
        if (!servers.ended(server, end, isWaiting, nowMs)) return
        log.event(
            "limit_lowered",
            "server" to server.instanceId,
            "limit" to servers.limitOf(server),
            "cause" to if (end is AttemptEnd.NotExecuted) "not executed" else "slow"
        )
    }

    /** Forgets the servers that have left. */
    fun tick() = servers.retain(registry.all.mapTo(HashSet()) { it.start })
}

/** How an attempt ended whose response, with [info], was complete after [tookMs]. */
internal fun attemptEnd(info: ResponseInfo, tookMs: Long): AttemptEnd =
    when {
        info.hasNotRun && info.status != OTHER_INSTANCE && !info.isServerDraining ->
            AttemptEnd.NotExecuted
        // An answer without a signature comes from another program, however fast it is.
        info.hasNotRun || !info.isSigned || info.status >= SERVER_ERROR -> AttemptEnd.Failed
        else -> AttemptEnd.Answered(tookMs)
    }

/** The address belongs to another server by now. */
private const val OTHER_INSTANCE = 421
private const val SERVER_ERROR = 500
