package org.jacinthlink.entry.calls

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.CallCancel
import org.jacinthlink.api.CallRequest
import org.jacinthlink.api.ErrorBody
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.decodeBounded
import org.jacinthlink.decision.dispatch.AttemptOutcome
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult

/** Result of one message to a sidecar. */
internal sealed interface CallReply {
    /** The sidecar answered. */
    data class Answer(val answer: CallAnswer) : CallReply

    /** No usable answer came. */
    data class None(val fate: AttemptOutcome, val cause: String) : CallReply
}

/** Sends plain calls and cancellations to sidecars. */
internal class CallTransport(private val context: EntryContext) {
    fun call(to: InstanceDescription, call: CallRequest, timeoutMs: Long, fresh: Boolean) =
        send(
            to,
            "/v1/calls",
            CallRequest.serializer(),
            call.copy(sentAtMs = context.clock.nowMs()),
            timeoutMs,
            fresh
        )

    fun cancel(to: InstanceDescription, cancel: CallCancel, timeoutMs: Long) =
        send(to, "/v1/calls/cancel", CallCancel.serializer(), cancel, timeoutMs, fresh = true)

    private fun <T> send(
        to: InstanceDescription,
        path: String,
        serializer: KSerializer<T>,
        message: T,
        timeoutMs: Long,
        fresh: Boolean
    ): CallReply {
        val body = ProtocolJson.encodeToString(serializer, message)
        val call = PeerCall("POST", "http://${to.address}$path", body)
        return when (val result = context.peerClient.call(call, timeoutMs, fresh)) {
            is PeerResult.Answered -> read(result)
            is PeerResult.Unknown -> CallReply.None(AttemptOutcome.UNKNOWN, result.message)
            is PeerResult.NotSent -> {
                context.membership.reportUnreachable(to.instance)
                CallReply.None(AttemptOutcome.NOT_RUN, result.message)
            }
        }
    }

    private fun read(result: PeerResult.Answered): CallReply =
        try {
            if (result.isSuccess) {
                CallReply.Answer(
                    ProtocolJson.decodeBounded(CallAnswer.serializer(), result.body)
                )
            } else {
                readError(result.body)
            }
        } catch (e: SerializationException) {
            CallReply.None(AttemptOutcome.UNKNOWN, "unreadable answer with status ${result.status}")
        }

    private fun readError(body: String): CallReply {
        val error = ProtocolJson.decodeBounded(ErrorBody.serializer(), body).error
        val message = "${error.name}: ${error.message}"
        if (!error.notRun) return CallReply.None(AttemptOutcome.UNKNOWN, message)
        val code = PASSED_ON.firstOrNull { it.number == error.code }
        return CallReply.Answer(
            CallAnswer.Refused(code ?: ResultCode.NO_BACKEND_SERVER, message)
        )
    }

    private companion object {
        // Other errors of the HTTP exchange concern the entry and not its caller.
        val PASSED_ON =
            setOf(ResultCode.OVERLOADED, ResultCode.DRAINING, ResultCode.BODY_TOO_LARGE)
    }
}
