package org.jacinthlink.entry

import org.http4k.core.Request
import org.http4k.core.Response
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Headers
import org.jacinthlink.api.RequestId
import org.jacinthlink.runtime.http.errorResponse

/** Records and answers a request that was refused before any dispatch. */
internal fun EntryContext.refuse(
    failure: Failure,
    request: Request,
    requestId: RequestId
): Response {
    eventLog.record(
        "request_refused",
        requestId,
        "code" to failure.code,
        "reason" to failure.message
    )
    val workClass =
        request.header(Headers.WORK_CLASS)?.takeIf { it in configuration.current.classes }
    metrics.ended(workClass, failure.code, 0)
    return errorResponse(failure.code, failure.message, requestId)
}
