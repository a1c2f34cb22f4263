package org.jacinthlink.runtime.http

import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.ErrorBody
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.errorBody

/** JSON error answer for [code]. */
fun errorResponse(
    code: ResultCode,
    message: String,
    requestId: RequestId? = null,
    notRun: Boolean = code.notRun
): Response =
    jsonResponse(
        Status(code.httpStatus, null),
        ProtocolJson.encodeToString(
            ErrorBody.serializer(),
            errorBody(code, message, requestId, notRun)
        )
    )

/** JSON answer with [status]. */
fun jsonResponse(status: Status, json: String): Response =
    Response(status).header("content-type", "application/json").body(json)
