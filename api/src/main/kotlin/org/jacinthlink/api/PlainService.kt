package org.jacinthlink.api

/** Client of a plain service: a backend server that answers HTTP calls without a model. */
interface PlainService {
    /** Sends [call] at most once. */
    fun call(call: PlainCall, timeoutMs: Long): PlainResult
}

/** Call to a plain service. */
data class PlainCall(
    val method: String,
    val path: String,
    val headers: Map<String, String>,
    val body: String
)

/** Result of a call to a plain service. */
sealed interface PlainResult {
    /** The service answered. */
    data class Answered(val status: Int, val headers: Map<String, String>, val body: String) :
        PlainResult

    /** The service was not reached; nothing ran. */
    data class NotSent(val message: String) : PlainResult

    /** The call was sent but not answered, so it may have run. */
    data class Unknown(val message: String) : PlainResult
}
