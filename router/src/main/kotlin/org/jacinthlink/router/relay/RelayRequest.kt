package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.RouteRule
import org.jacinthlink.decision.fleet.ServiceDefinition
import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.quarantine.RequestContent
import org.jacinthlink.platform.forward.AttemptInfo
import org.jacinthlink.platform.forward.RequestInfo
import org.jacinthlink.platform.forward.forwardHeaders
import org.jacinthlink.platform.forward.refusalHeaders
import org.jacinthlink.platform.forward.responseId
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.ClientRequest
import org.jacinthlink.transport.ConnectionUse
import org.jacinthlink.transport.ServerExchange
import org.jacinthlink.transport.ServerRequest

/**
 * A client's request that is relayed to a service.
 *
 * @property workspace Workspace of the API key, or null if the route requires no key.
 * @property startedAtMs When the request had been read and its relay started, on the monotonic
 *   clock.
 * @property endsAtMs Deadline for the complete response, on the monotonic clock.
 * @property configurationVersion Version of the configuration that determined the route.
 */
internal class RelayRequest(
    val request: ServerRequest,
    val info: RequestInfo,
    val exchange: ServerExchange,
    val route: RouteRule,
    val service: ServiceDefinition,
    val workspace: String?,
    val priority: Int,
    val startedAtMs: Long,
    val endsAtMs: Long,
    val configurationVersion: Long
) {
    val id: String? get() = info.requestId

    /** What the request consists of, by which it is recognized when it comes again. */
    val content: RequestContent by lazy(LazyThreadSafetyMode.NONE) {
        requestContent(request, info, workspace)
    }

    private val expectedAnswerTokens: Int
        get() = info.expectedAnswerTokens ?: service.engine?.usualAnswerTokens ?: 0

    /** Estimated number of tokens that the request occupies in engine memory when it ends. */
    val expectedTokens: Long get() = info.promptTokens + expectedAnswerTokens.toLong()

    /** Time that the caller has spent on earlier attempts; it names the time that is left. */
    val spentMs: Long get() = (route.timeoutMs - (endsAtMs - startedAtMs)).coerceAtLeast(0)

    /** Estimated number of events of a streamed response. */
    val expectedEvents: Int
        get() = expectedAnswerTokens / (service.engine?.stepsPerPass ?: 1).coerceAtLeast(1)

    /** Addresses of the servers of all attempts. */
    private val sentTo = mutableSetOf<Address>()

    /**
     * Builds the HTTP request of the next attempt. A second one at the same server gets a new
     * connection, because a late copy of the response to the first one has the same id.
     */
    fun httpRequest(
        server: BackendServer,
        path: ServingPath?,
        lastEventId: Long?,
        nowMs: Long,
        usesFreshConnection: Boolean
    ): ClientRequest {
        val attempt =
            AttemptInfo(
                server,
                workspace,
                (endsAtMs - nowMs).coerceAtLeast(1),
                enginePriority(lastEventId).takeIf { path != null },
                path,
                lastEventId
            )
        val address = Address(server.host, server.port)
        val isRepeated = !sentTo.add(address)
        return ClientRequest(
            address,
            request.method,
            request.target,
            forwardHeaders(request, attempt),
            request.body,
            if (usesFreshConnection || isRepeated) ConnectionUse.FRESH else ConnectionUse.SHARED,
            CONNECT_TIMEOUT_MS,
            responseId(id)
        )
    }

    /** Resumed streams get the highest priority because their callers notice the pause. */
    private fun enginePriority(lastEventId: Long?): Int =
        if (lastEventId != null) 0 else (priority + 1).coerceAtMost(LEAST_PRIORITY)

    /** Sends the caller a response of this router with [status] and without a body. */
    fun refuse(status: Int, retryAfterMs: Long? = null) {
        exchange.respond(status, refusalHeaders(id, retryAfterMs), ByteArray(0))
    }

    private companion object {
        /**
         * Connecting within a region takes a few ms. An attempt that has no connection after this
         * time, for example because a packet was lost, fails before any byte of the request is
         * sent. Within the attempt limit and the retry budget, [PlainRelay] then sends the request
         * to another server, and [StreamRelay] sends it again if the route is idempotent, possibly
         * over the same path.
         */
        const val CONNECT_TIMEOUT_MS = 300
        const val LEAST_PRIORITY = 9
    }
}
