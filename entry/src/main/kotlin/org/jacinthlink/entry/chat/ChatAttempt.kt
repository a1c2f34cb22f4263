package org.jacinthlink.entry.chat

import kotlinx.serialization.SerializationException
import org.jacinthlink.api.ErrorBody
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.StreamEvent
import org.jacinthlink.api.decodeBounded
import org.jacinthlink.decision.dispatch.AttemptOutcome
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.runtime.http.LineListener
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.StreamCall

/**
 * One attempt at one head. Turns the lines of its answer into events for [listener].
 *
 * @property isolated True if no other request runs on the same backend server meanwhile.
 */
internal class ChatAttempt(
    val number: Int,
    val head: FlowStage,
    val isolated: Boolean,
    private val nowMs: () -> Long,
    private val listener: Listener
) : LineListener {
    /** Receives what one attempt yields. */
    interface Listener {
        fun onEvent(attempt: ChatAttempt, event: StreamEvent)

        fun onBroken(attempt: ChatAttempt, end: AttemptEnd)
    }

    @Volatile
    var lastLineAtMs = nowMs()
        private set

    @Volatile
    var call: StreamCall? = null

    @Volatile
    private var status = OK

    override fun onStart(status: Int, headers: Map<String, String>) {
        this.status = status
        lastLineAtMs = nowMs()
    }

    override fun onLine(line: String) {
        lastLineAtMs = nowMs()
        if (line.isBlank()) return
        try {
            listener.onEvent(this, if (status == OK) event(line) else refusal(line))
        } catch (e: SerializationException) {
            broken(AttemptOutcome.UNKNOWN, "unreadable line: ${e.message?.lineSequence()?.first()}")
        }
    }

    override fun onEnd() = broken(AttemptOutcome.UNKNOWN, "the answer ended early, status $status")

    override fun onFailure(result: PeerResult) =
        when (result) {
            is PeerResult.NotSent -> broken(AttemptOutcome.NOT_RUN, result.message)
            is PeerResult.Unknown -> broken(AttemptOutcome.UNKNOWN, result.message)
            is PeerResult.Answered -> broken(AttemptOutcome.UNKNOWN, "status ${result.status}")
        }

    private fun broken(fate: AttemptOutcome, cause: String) =
        listener.onBroken(this, AttemptEnd(fate, cause))

    private fun event(line: String) =
        ProtocolJson.decodeBounded(StreamEvent.serializer(), line)

    private fun refusal(line: String): StreamEvent.Refused {
        val error = ProtocolJson.decodeBounded(ErrorBody.serializer(), line).error
        val code =
            PASSED_ON.firstOrNull { it.number == error.code }
                ?: if (error.notRun) ResultCode.NO_BACKEND_SERVER else ResultCode.STREAM_FAILED
        return StreamEvent.Refused(code, "${error.name}: ${error.message}", error.notRun)
    }

    private companion object {
        const val OK = 200

        // Other errors of the HTTP exchange concern the entry and not its caller.
        val PASSED_ON =
            setOf(ResultCode.OVERLOADED, ResultCode.DRAINING, ResultCode.BODY_TOO_LARGE)
    }
}
