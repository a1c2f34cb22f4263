package org.jacinthlink.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Response to a [CallRequest] or a [CallCancel]. */
@Serializable
sealed interface CallAnswer {
    /** The service answered; [replayed] is true if this is the recorded result of the key. */
    @Serializable
    @SerialName("executed")
    data class Executed(
        val status: Int,
        val headers: Map<String, String>,
        val body: String,
        val replayed: Boolean = false
    ) : CallAnswer

    /** Nothing ran, and this request will not cause anything to run. */
    @Serializable
    @SerialName("refused")
    data class Refused(val code: ResultCode, val message: String, val retryAfterMs: Long = 0) :
        CallAnswer

    /** The call may have run; it will not be run again. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(val message: String) : CallAnswer

    /** A call with the same key is in execution. */
    @Serializable
    @SerialName("in_progress")
    data object InProgress : CallAnswer
}
