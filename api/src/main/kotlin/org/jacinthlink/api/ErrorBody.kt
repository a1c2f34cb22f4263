package org.jacinthlink.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** JSON body of every error response. */
@Serializable
data class ErrorBody(val error: ErrorDetail)

/** Content of an [ErrorBody]. */
@Serializable
data class ErrorDetail(
    val code: Int,
    val name: String,
    val message: String,
    @SerialName("not_run") val notRun: Boolean,
    @SerialName("request_id") val requestId: String? = null
)

/**
 * Creates the error body for [code]. [notRun] overrides the guarantee of the code if something ran
 * before.
 */
fun errorBody(
    code: ResultCode,
    message: String,
    requestId: RequestId? = null,
    notRun: Boolean = code.notRun
) = ErrorBody(ErrorDetail(code.number, code.name, message, notRun, requestId?.value))
