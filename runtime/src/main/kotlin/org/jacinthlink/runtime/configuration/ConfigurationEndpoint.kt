package org.jacinthlink.runtime.configuration

import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.ResultCode
import org.jacinthlink.runtime.http.errorResponse
import org.jacinthlink.runtime.http.jsonResponse

/** Serves `/v1/config`. The shell adds the revision header to every answer. */
internal class ConfigurationEndpoint(private val store: ConfigurationStore) {
    fun handle(request: Request): Response =
        when (request.method) {
            Method.GET -> read(request)
            Method.POST -> accept(request)
            else -> errorResponse(ResultCode.METHOD_NOT_ALLOWED, "use GET or POST")
        }

    private fun read(request: Request): Response {
        val newerThan = request.query("newer_than")?.toLongOrNull() ?: -1
        val document = store.current
        return if (document.revision > newerThan) {
            jsonResponse(Status.OK, encodeConfiguration(document))
        } else {
            Response(Status.NO_CONTENT)
        }
    }

    private fun accept(request: Request): Response {
        val document =
            decodeConfiguration(request.bodyString())
                ?: return errorResponse(ResultCode.MALFORMED_REQUEST, "not a configuration")
        store.offer(document, "peer_push")
        return Response(Status.NO_CONTENT)
    }
}
