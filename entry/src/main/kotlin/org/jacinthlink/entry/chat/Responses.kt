package org.jacinthlink.entry.chat

import org.http4k.core.Response
import org.jacinthlink.entry.withRetryAfter
import org.jacinthlink.runtime.http.errorResponse

/** Id of the completion of [job]. */
internal fun completionId(job: ChatJob): String = "chatcmpl-${job.requestId.value}"

/** Error answer for [failure]. */
internal fun failureResponse(job: ChatJob, failure: ChatFailure): Response =
    errorResponse(failure.code, failure.message, job.requestId, failure.notRun)
        .withRetryAfter(failure.retryAfterMs)
