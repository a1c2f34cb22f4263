package org.jacinthlink.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One JSON line of the answer to a [StreamOpen]. */
@Serializable
sealed interface StreamEvent {
    /** The request is queued. */
    @Serializable
    @SerialName("accepted")
    data class Accepted(val load: LoadReport) : StreamEvent

    /** A generated token. [index] counts the tokens of the request over all attempts, from 0. */
    @Serializable
    @SerialName("token")
    data class Token(val index: Int, val text: String) : StreamEvent

    /**
     * Carries the load. It is sent after each heartbeat interval without another event, so that the
     * receiver can detect a stalled connection, and less often while tokens are sent.
     */
    @Serializable
    @SerialName("heartbeat")
    data class Heartbeat(val load: LoadReport) : StreamEvent

    /** The stream is complete, with [tokenCount] generated tokens over all attempts. */
    @Serializable
    @SerialName("end")
    data class End(val reason: String, val tokenCount: Int) : StreamEvent

    /**
     * The stream was refused or failed; [notRun] is true only if no layer ran.
     *
     * @property crashId Identifies the crash of the backend server, so that it is counted once.
     */
    @Serializable
    @SerialName("refused")
    data class Refused(
        val code: ResultCode,
        val message: String,
        val notRun: Boolean,
        val retryAfterMs: Long = 0,
        val backendServerCrashed: Boolean = false,
        val crashId: String = ""
    ) : StreamEvent
}
