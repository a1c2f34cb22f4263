package org.jacinthlink.sidecar.calls

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.CallCancel
import org.jacinthlink.api.CallRequest
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.decodeBounded
import org.jacinthlink.runtime.http.PushBody
import org.jacinthlink.runtime.http.errorResponse

/**
 * Serves `POST /v1/calls` and `POST /v1/calls/cancel`.
 *
 * Answers are pushed when they are ready, so that waiting calls hold no thread of the server.
 */
fun callRoutes(executor: CallExecutor): HttpHandler = { request ->
    when (request.uri.path) {
        "/v1/calls" ->
            answerTo(request, CallRequest.serializer(), executor::submit)
        "/v1/calls/cancel" ->
            answerTo(request, CallCancel.serializer(), executor::cancel)
        else -> errorResponse(ResultCode.NOT_FOUND, "no such path: ${request.uri.path}")
    }
}

private fun <T> answerTo(
    request: Request,
    format: DeserializationStrategy<T>,
    action: (T, (CallAnswer) -> Unit) -> Unit
): Response {
    if (request.method != Method.POST) {
        return errorResponse(ResultCode.METHOD_NOT_ALLOWED, "use POST")
    }
    val message =
        try {
            ProtocolJson.decodeBounded(format, request.bodyString())
        } catch (e: SerializationException) {
            return errorResponse(ResultCode.MALFORMED_REQUEST, e.message ?: "malformed message")
        }
    val body =
        PushBody { sink ->
            action(message) { answer ->
                sink.send(ProtocolJson.encodeToString(CallAnswer.serializer(), answer))
                sink.close()
            }
        }
    return Response(Status.OK).header("content-type", "application/json").body(body)
}
