package org.jacinthlink.entry

import org.http4k.core.Response
import org.jacinthlink.api.Failure
import org.jacinthlink.api.RequestId
import org.jacinthlink.runtime.http.errorResponse

/** Records and answers a request that was refused before any dispatch. */
internal fun EntryContext.refuse(failure: Failure, requestId: RequestId): Response {
    eventLog.record(
        "request_refused",
        requestId,
        "code" to failure.code,
        "reason" to failure.message
    )
    metrics.ended(null, failure.code, 0)
    return errorResponse(failure.code, failure.message, requestId)
}
