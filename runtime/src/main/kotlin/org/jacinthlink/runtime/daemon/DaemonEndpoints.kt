package org.jacinthlink.runtime.daemon

import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.Headers
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.decodeBounded
import org.jacinthlink.runtime.events.Event
import org.jacinthlink.runtime.events.EventFilter
import org.jacinthlink.runtime.http.errorResponse
import org.jacinthlink.runtime.http.jsonResponse
import org.jacinthlink.runtime.membership.PeerInstanceList

/** Endpoints that every daemon serves; all others go to the daemon's own handler. */
internal class DaemonEndpoints(private val shell: HttpDaemonShell) {
    /** Serves one request. A fault of a handler becomes an answer and never ends the process. */
    fun handle(request: Request): Response {
        shell.awaitListening()
        val fromPeer = shell.protocol.isFromPeer(request)
        val response =
            try {
                route(request, fromPeer)
            } catch (e: Throwable) {
                shell.handlerFailed(request, e)
                errorResponse(
                    ResultCode.INTERNAL_ERROR,
                    "internal error: ${e.javaClass.simpleName}"
                )
            }
        return shell.withAnswerHeaders(response, fromPeer)
    }

    /** True if requests for [path] must be answered in a flood of others. */
    fun isControl(path: String): Boolean =
        path in OPEN_PATHS || common(path) != null || shell.logic.isControl(path)

    private fun route(request: Request, fromPeer: Boolean): Response {
        val path = request.uri.path
        if (fromPeer) shell.protocol.observe(request, shell.sync)
        return when {
            path == "/health" -> health()
            path == "/metrics" -> Response(Status.OK).body(shell.scrapeMetrics())
            fromPeer -> (common(path) ?: shell.logic.handler)(request)
            shell.logic.isOpen(path) -> shell.logic.handler(request)
            else -> errorResponse(ResultCode.UNAUTHORIZED, "the peer token is missing or wrong")
        }
    }

    private fun common(path: String): HttpHandler? =
        when (path) {
            "/v1/describe" -> ::describe
            "/v1/config" -> shell.configurationEndpoint::handle
            "/v1/instances" -> { _ -> instances() }
            "/v1/events" -> ::events
            "/v1/drain" -> ::drain
            else -> null
        }

    /** A load balancer takes a process out when this is not 200. */
    private fun health(): Response =
        when {
            shell.draining -> errorResponse(ResultCode.DRAINING, "the process is stopping")
            !shell.logic.isSettled ->
                errorResponse(ResultCode.NO_BACKEND_SERVER, "the process is starting")
            else -> jsonResponse(Status.OK, """{"status":"up"}""")
        }

    private fun describe(request: Request): Response =
        when (request.method) {
            Method.GET -> {
                request.header(Headers.SENDER)?.let(shell::describeAsked)
                jsonResponse(Status.OK, encodeDescription(shell.describe()))
            }
            Method.POST -> announced(request)
            else -> errorResponse(ResultCode.METHOD_NOT_ALLOWED, "use GET or POST")
        }

    private fun announced(request: Request): Response =
        try {
            val serializer = InstanceDescription.serializer()
            shell.announced(ProtocolJson.decodeBounded(serializer, request.bodyString()))
            Response(Status.NO_CONTENT)
        } catch (_: SerializationException) {
            errorResponse(ResultCode.MALFORMED_REQUEST, "not a description")
        }

    private fun instances(): Response =
        jsonResponse(
            Status.OK,
            ProtocolJson.encodeToString(PeerInstanceList.serializer(), shell.listForPeers())
        )

    private fun events(request: Request): Response {
        val events = shell.eventLog.recent().filter(eventFilter(request)::matches)
        val serializer = ListSerializer(Event.serializer())
        return jsonResponse(Status.OK, ProtocolJson.encodeToString(serializer, events))
    }

    private fun eventFilter(request: Request): EventFilter {
        val requestIds = request.queries("request_id").filterNotNull().toSet()
        val workClass = request.query("class")
        val fault = request.query("fault")
        return when {
            requestIds.isNotEmpty() -> EventFilter.OfRequests(requestIds)
            workClass != null -> EventFilter.OfClass(workClass)
            fault != null -> EventFilter.OfFault(fault)
            else -> EventFilter.All
        }
    }

    private fun drain(request: Request): Response {
        if (request.method != Method.POST) {
            return errorResponse(ResultCode.METHOD_NOT_ALLOWED, "use POST")
        }
        shell.drain()
        return jsonResponse(Status.ACCEPTED, """{"draining":true}""")
    }
}

private val OPEN_PATHS = setOf("/health", "/metrics")

/** JSON of [description]. */
internal fun encodeDescription(description: InstanceDescription): String =
    ProtocolJson.encodeToString(InstanceDescription.serializer(), description)
