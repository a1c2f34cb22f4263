package org.jacinthlink.router

import org.jacinthlink.decision.fleet.FleetConfiguration
import org.jacinthlink.decision.fleet.RouteRule
import org.jacinthlink.decision.fleet.WeightedService
import org.jacinthlink.decision.fleet.WorkspaceAccess
import org.jacinthlink.decision.limits.QuotaDecision
import org.jacinthlink.decision.limits.WorkspaceQuotas
import org.jacinthlink.platform.forward.RequestInfo
import org.jacinthlink.platform.forward.refusalHeaders
import org.jacinthlink.platform.forward.requestInfo
import org.jacinthlink.router.relay.PlainRelay
import org.jacinthlink.router.relay.RelayContext
import org.jacinthlink.router.relay.RelayRequest
import org.jacinthlink.router.relay.StreamRelay
import org.jacinthlink.router.relay.StreamTable
import org.jacinthlink.router.state.ConfigurationCache
import org.jacinthlink.transport.ServerExchange
import org.jacinthlink.transport.ServerHandler
import org.jacinthlink.transport.ServerRequest

/**
 * Chooses the route and the service of each client request.
 *
 * @param quotas Limits on the requests of workspaces.
 * @param isServing True once this router may serve by its configuration.
 */
internal class RequestRouter(
    private val context: RelayContext,
    private val configuration: ConfigurationCache,
    private val streams: StreamTable,
    private val quotas: WorkspaceQuotas,
    private val isServing: () -> Boolean
) : ServerHandler {
    private val shares = ServiceShares()
    private val early = EarlyRequests(context.loop, ::refuseEarly)
    private val guard = RequestGuard(context.loop, context.log, context.metrics, context.clockMs)

    private var isClosed = false

    override fun handle(request: ServerRequest, exchange: ServerExchange) {
        val info = requestInfo(request)
        guard.read(info, exchange, context.clockMs())
        when {
            isClosed -> refuse(info, exchange, UNAVAILABLE, "stopping", null, STOPPING_RETRY_MS)
            !isServing() -> early.hold(request, exchange)
            else -> route(request, info, exchange)
        }
    }

    /** Age of the oldest request without an outcome; 0 if there is none. */
    val oldestAgeMs: Long get() = guard.oldestAgeMs

    override fun refuse(request: ServerRequest, exchange: ServerExchange) =
        refuse(requestInfo(request), exchange, UNAVAILABLE, "memory", null, RETRY_AFTER_MS)

    /** Rejects further requests; requests in progress continue. */
    fun close() {
        isClosed = true
    }

    /** Handles the requests that arrived too early, if this router now serves. */
    fun releaseEarly() {
        if (!early.isEmpty && isServing()) early.release(this)
    }

    private fun refuseEarly(request: ServerRequest, exchange: ServerExchange) {
        val info = requestInfo(request)
        refuse(info, exchange, UNAVAILABLE, "no configuration", null, RETRY_AFTER_MS)
    }

    private fun route(request: ServerRequest, info: RequestInfo, exchange: ServerExchange) {
        val current = configuration.current ?: return refuseEarly(request, exchange)
        val route = configuration.routes.find(info.host, request.path)
            ?: return refuse(info, exchange, NOT_FOUND, "no route", current.version)
        val needsKey = current.usesKeys && !route.isAnonymous
        val access = info.apiKey?.let { current.accessByKey[it] }
        when {
            needsKey && access == null ->
                refuse(info, exchange, UNAUTHORIZED, "unknown key", current.version)
            info.requestId == null ->
                refuse(info, exchange, BAD_REQUEST, "no request id", current.version)
            else -> {
                val workspace = access.takeIf { needsKey }
                val incoming = IncomingRequest(request, info, exchange)
                when (val decision = decideByQuota(workspace)) {
                    is QuotaDecision.Admitted -> forward(incoming, current, route, workspace)
                    is QuotaDecision.Refused ->
                        refuseByQuota(incoming, decision, workspace?.workspace, current.version)
                }
            }
        }
    }

    /** A request without a workspace has no quota. */
    private fun decideByQuota(access: WorkspaceAccess?): QuotaDecision =
        access?.let { quotas.decide(it.workspace, context.clockMs()) } ?: QuotaDecision.Admitted

    private fun refuseByQuota(
        incoming: IncomingRequest,
        refused: QuotaDecision.Refused,
        workspace: String?,
        version: Long
    ) {
        context.metrics.quotaRefused()
        refuse(
            incoming.info,
            incoming.exchange,
            TOO_MANY_REQUESTS,
            "quota",
            version,
            refused.retryAfterMs,
            listOf("workspace" to workspace, "part" to refused.part)
        )
    }

    private fun forward(
        incoming: IncomingRequest,
        current: FleetConfiguration,
        route: RouteRule,
        access: WorkspaceAccess?
    ) {
        val service = current.services[shares.pick(route.name, route.targets)]
        if (service == null) {
            refuse(incoming.info, incoming.exchange, UNAVAILABLE, "no service", current.version)
            return
        }
        val nowMs = context.clockMs()
        context.notices.throttle.demand.arrived(service.name, nowMs)
        val limitMs = minOf(incoming.info.clientTimeoutMs ?: route.timeoutMs, route.timeoutMs)
        val relayRequest =
            RelayRequest(
                incoming.request,
                incoming.info,
                incoming.exchange,
                route,
                service,
                access?.workspace,
                (access?.priority ?: route.priority).coerceIn(0, LEAST_PRIORITY),
                nowMs,
                nowMs + limitMs,
                current.version
            )
        guard.routed(incoming.exchange, route.name, relayRequest.endsAtMs)
        if (service.engine != null) {
            StreamRelay(context, streams, relayRequest).start()
        } else {
            PlainRelay(context, relayRequest).start()
        }
    }

    private fun refuse(
        info: RequestInfo,
        exchange: ServerExchange,
        status: Int,
        cause: String,
        version: Long?,
        retryAfterMs: Long? = null,
        details: List<Pair<String, Any?>> = emptyList()
    ) {
        context.log.event(
            "refused",
            "request" to info.requestId,
            "status" to status,
            "cause" to cause,
            "host" to info.host,
            "configuration" to version,
            *details.toTypedArray()
        )
        exchange.respond(status, refusalHeaders(info.requestId, retryAfterMs), ByteArray(0))
    }

    private class IncomingRequest(
        val request: ServerRequest,
        val info: RequestInfo,
        val exchange: ServerExchange
    )

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
        const val LEAST_PRIORITY = 9
        const val RETRY_AFTER_MS = 300L

        /** Short, because the client's next connection goes to another instance. */
        const val STOPPING_RETRY_MS = 20L
    }
}

/**
 * Distributes the requests of a route over its services in proportion to their weights, by smooth
 * weighted round-robin.
 */
internal class ServiceShares {
    private val currentWeights = HashMap<String, Double>()

    /** Service for the next request of [route], or null if none of [targets] has a share. */
    fun pick(route: String, targets: List<WeightedService>): String? {
        if (targets.size == 1) return targets.first().service
        val shares = targets.filter { it.weight > 0 }
        if (shares.size <= 1) return shares.firstOrNull()?.service
        val total = shares.sumOf { it.weight }
        shares.forEach {
            currentWeights.merge("$route/${it.service}", it.weight / total, Double::plus)
        }
        val next = shares.maxBy { currentWeights["$route/${it.service}"] ?: 0.0 }
        currentWeights.merge("$route/${next.service}", -1.0, Double::plus)
        return next.service
    }
}
