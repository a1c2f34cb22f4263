package org.jacinthlink.cli.admin

import org.jacinthlink.api.ErrorBody
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.cli.ExitCode
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.PeerResult

/** Calls the operators' API of one entry. */
class AdminClient(
    private val entryAddress: String,
    private val operatorToken: String,
    private val client: PeerClient
) {
    /** Sends one call and returns its body, or the reason why there is none. */
    fun call(method: String, path: String, body: String? = null, ifMatch: Long? = null) =
        toAnswer(client.call(peerCall(method, path, body, ifMatch), CALL_TIMEOUT_MS))

    private fun peerCall(method: String, path: String, body: String?, ifMatch: Long?): PeerCall {
        val headers =
            mapOf("authorization" to "Bearer $operatorToken") +
                (ifMatch?.let { mapOf("If-Match" to it.toString()) } ?: emptyMap())
        return PeerCall(method, "http://$entryAddress$path", body, headers)
    }

    private fun toAnswer(result: PeerResult): AdminAnswer =
        when (result) {
            is PeerResult.Answered ->
                if (result.isSuccess) AdminAnswer.Ok(result.body) else refusal(result)
            is PeerResult.NotSent ->
                AdminAnswer.Failed(
                    ExitCode.UNREACHABLE,
                    "entry $entryAddress cannot be reached: ${result.message}"
                )
            is PeerResult.Unknown ->
                AdminAnswer.Failed(
                    ExitCode.OUTCOME_UNKNOWN,
                    "entry $entryAddress did not answer, the outcome is unknown: ${result.message}"
                )
        }

    private fun refusal(result: PeerResult.Answered): AdminAnswer {
        val detail =
            runCatching { ProtocolJson.decodeFromString<ErrorBody>(result.body).error }
                .getOrNull()
        val message =
            detail?.let { "${it.code} ${it.name}: ${it.message}" }
                ?: "status ${result.status}: ${result.body}"
        val code = if (detail?.notRun == false) ExitCode.OUTCOME_UNKNOWN else ExitCode.REFUSED
        return AdminAnswer.Failed(code, message)
    }

    private companion object {
        // Applying a change waits up to 5 s until the change is in force on all instances.
        const val CALL_TIMEOUT_MS = 15_000L
    }
}
