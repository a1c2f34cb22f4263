package org.jacinthlink.cli.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.jacinthlink.api.ErrorBody
import org.jacinthlink.api.ErrorDetail
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.decodeOrNull
import org.jacinthlink.runtime.http.PeerResult

/** Reads the answer to one request line by line. Times are in microseconds of the run. */
internal class AnswerReader(private val isModel: Boolean) {
    private val text = StringBuilder()
    private val body = StringBuilder()
    private var status = 0
    private var isDone = false
    private var error: ErrorDetail? = null
    private val tokenTimes = mutableListOf<Long>()

    val answer: String get() = text.toString()
    val tokenTimesUs: List<Long> get() = tokenTimes

    fun started(status: Int) {
        this.status = status
    }

    fun line(line: String, nowUs: Long) {
        when {
            !isModel || status != OK -> if (body.length < MAX_BODY_CHARS) body.append(line)
            line == "data: [DONE]" -> isDone = true
            line.startsWith(DATA) -> event(line.removePrefix(DATA), nowUs)
        }
    }

    /** Outcome of the request. [failure] is set if the call did not end in the regular way. */
    fun outcome(failure: PeerResult?): RequestOutcome {
        val reported =
            error ?: ProtocolJson.decodeOrNull(ErrorBody.serializer(), body.toString())?.error
        return when {
            failure is PeerResult.NotSent -> RequestOutcome.NOT_SENT
            reported != null -> outcomeOf(reported)
            failure != null && !isDone -> broken()
            isModel -> if (isDone) RequestOutcome.ANSWERED else RequestOutcome.FAILED
            status < SERVER_ERRORS -> RequestOutcome.ANSWERED
            else -> RequestOutcome.FAILED
        }
    }

    /** What is known of the end of the request, for a log line. */
    fun describe(failure: PeerResult?): String =
        "status $status, ${tokenTimes.size} tokens, error $error, call $failure"

    // A model's answer can be asked for again; whether a plain call ran matters.
    private fun broken() = if (isModel) RequestOutcome.FAILED else RequestOutcome.UNKNOWN

    private fun outcomeOf(error: ErrorDetail): RequestOutcome =
        when {
            error.notRun -> RequestOutcome.REFUSED_NOT_RUN
            error.code in UNKNOWN_CODES -> RequestOutcome.UNKNOWN
            else -> RequestOutcome.FAILED
        }

    private fun event(json: String, nowUs: Long) {
        val chunk = ProtocolJson.decodeOrNull(Chunk.serializer(), json) ?: return
        chunk.error?.let { error = it }
        val content = chunk.choices.firstOrNull()?.delta?.content.orEmpty()
        if (content.isEmpty()) return
        tokenTimes += nowUs
        text.append(content)
    }

    @Serializable
    private data class Chunk(
        val choices: List<Choice> = emptyList(),
        val error: ErrorDetail? = null
    )

    @Serializable
    private data class Choice(
        val delta: Delta? = null,
        @SerialName("finish_reason") val finishReason: String? = null
    )

    @Serializable
    private data class Delta(val content: String? = null)

    private companion object {
        const val OK = 200
        const val SERVER_ERRORS = 500
        const val DATA = "data: "
        const val MAX_BODY_CHARS = 65_536
        val UNKNOWN_CODES =
            setOf(ResultCode.OUTCOME_UNKNOWN, ResultCode.IN_PROGRESS).map { it.number }
    }
}
