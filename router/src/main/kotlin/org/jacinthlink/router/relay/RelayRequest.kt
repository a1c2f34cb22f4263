package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.RouteRule
import org.jacinthlink.decision.fleet.ServiceDefinition
import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.platform.forward.RequestInfo
import org.jacinthlink.platform.forward.AttemptInfo
import org.jacinthlink.platform.forward.forwardHeaders
import org.jacinthlink.platform.forward.refusalHeaders
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.ClientRequest
import org.jacinthlink.transport.ServerExchange
import org.jacinthlink.transport.ServerRequest

/**
 * A request on its way to a service.
 *
 * @property workspace Workspace of its key, or null on an anonymous route.
 * @property startedAtMs When it had been read, on the steady clock.
 * @property endsAtMs When its final answer is due.
 * @property configurationVersion Version of the configuration that decided its route.
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

    /** Tokens that the request will have in memory at its end, as far as known. */
    val expectedTokens: Long
        get() {
            val usual = service.engine?.usualAnswerTokens ?: 0
            return info.promptTokens + (info.expectedAnswerTokens ?: usual).toLong()
        }

    /** The message for one send. */
    fun message(
        server: BackendServer,
        path: ServingPath?,
        lastEventId: Long?,
        nowMs: Long,
        usesFreshConnection: Boolean
    ): ClientRequest {
        val send =
            AttemptInfo(
                server,
                workspace,
                (endsAtMs - nowMs).coerceAtLeast(1),
                enginePriority(lastEventId).takeIf { path != null },
                path,
                lastEventId
            )
        return ClientRequest(
            Address(server.host, server.port),
            request.method,
            request.target,
            forwardHeaders(request, send),
            request.body,
            usesFreshConnection,
            CONNECT_TIMEOUT_MS
        )
    }

    /** Streams that go on come first: their callers see the pause. */
    private fun enginePriority(lastEventId: Long?): Int =
        if (lastEventId != null) 0 else (priority + 1).coerceAtMost(LEAST_PRIORITY)

    /** Answers with a status of this system. */
    fun refuse(status: Int, retryAfterMs: Long? = null) {
        exchange.respond(status, refusalHeaders(id, retryAfterMs), ByteArray(0))
    }

    private companion object {
        /** A connection inside a region takes a few ms; a lost first packet is sent again. */
        const val CONNECT_TIMEOUT_MS = 300
        const val LEAST_PRIORITY = 9
    }
}
