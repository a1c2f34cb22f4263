package org.jacinthlink.cli.load

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicBoolean
import org.jacinthlink.runtime.http.LineListener
import org.jacinthlink.runtime.http.PeerResult

/** Follows one request and passes its result to [onFinished] once. */
internal class RequestListener(
    private val request: ScheduledRequest,
    private val nowUs: () -> Long,
    private val onFinished: (FinishedRequest) -> Unit
) : LineListener {
    private val reader = AnswerReader(request.stream.model != null)
    private val finished = AtomicBoolean(false)

    override fun onStart(status: Int, headers: Map<String, String>) = reader.started(status)

    override fun onLine(line: String) = reader.line(line, nowUs())

    override fun onEnd() = finish(null)

    override fun onFailure(result: PeerResult) = finish(result)

    private fun finish(failure: PeerResult?) {
        if (!finished.compareAndSet(false, true)) return
        val outcome = reader.outcome(failure)
        if (outcome !in EXPECTED) {
            logger.warn {
                "${request.stream.name}-${request.number} $outcome: ${reader.describe(failure)}"
            }
        }
        val wrong = outcome == RequestOutcome.ANSWERED && isWrong()
        onFinished(FinishedRequest(request, outcome, nowUs(), reader.tokenTimesUs, wrong))
    }

    private fun isWrong(): Boolean =
        request.stream.model != null &&
            request.stream.verifyLayerCount != null &&
            reader.answer != referenceTokens(request).joinToString("")

    private companion object {
        val EXPECTED = setOf(RequestOutcome.ANSWERED, RequestOutcome.REFUSED_NOT_RUN)
        val logger = KotlinLogging.logger {}
    }
}
