package org.jacinthlink.entry.chat

import kotlinx.serialization.SerializationException
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.decodeBounded
import org.jacinthlink.runtime.http.errorResponse
import org.jacinthlink.runtime.http.jsonResponse

/** Serves the questions of other entries on the runs of a content. */
internal class PermitRoutes(private val permits: ContentPermits) {
    fun handle(request: Request): Response =
        try {
            when (val path = request.uri.path) {
                ASK_PATH -> jsonResponse(Status.OK, permit(request.bodyString()))
                RUNS_PATH -> jsonResponse(Status.OK, runs(request.bodyString()))
                else -> errorResponse(ResultCode.NOT_FOUND, "no route $path")
            }
        } catch (_: SerializationException) {
            errorResponse(ResultCode.MALFORMED_REQUEST, "not a question on the runs of a content")
        }

    private fun permit(body: String): String {
        val ask = ProtocolJson.decodeBounded(PermitAsk.serializer(), body)
        return ProtocolJson.encodeToString(PermitAnswer.serializer(), permits.permit(ask))
    }

    private fun runs(body: String): String {
        val ask = ProtocolJson.decodeBounded(RunsAsk.serializer(), body)
        return ProtocolJson.encodeToString(RunsAnswer.serializer(), permits.runs(ask))
    }
}

/** Prefix of the paths between entries on the runs of a content. */
internal const val PERMITS_PREFIX = "/v1/permits/"

/** Path of a [PermitAsk]. */
internal const val ASK_PATH = PERMITS_PREFIX + "ask"

/** Path of a [RunsAsk]. */
internal const val RUNS_PATH = PERMITS_PREFIX + "runs"
