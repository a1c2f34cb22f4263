package org.jacinthlink.sidecar.calls

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.CallRequest
import org.jacinthlink.api.RequestId
import org.jacinthlink.runtime.events.EventLog

/** Events and metrics of the calls of one plain service. */
class CallMonitor(private val events: EventLog, private val meters: MeterRegistry) {
    /** Notes that the claim of [request] is in the key-value service. */
    internal fun claimWritten(request: CallRequest, elapsedMs: Long) {
        meters.timer("jacinthlink.claim.write").record(elapsedMs, TimeUnit.MILLISECONDS)
        events.record("claim_written", request.requestId, "elapsed_ms" to elapsedMs)
    }

    /** Notes that the backend server was called for [request]. */
    internal fun called(elapsedMs: Long) =
        meters.timer("jacinthlink.service.call").record(elapsedMs, TimeUnit.MILLISECONDS)

    /** Notes the answer to one attempt of [request]. */
    internal fun answered(request: CallRequest, answer: CallAnswer, elapsedMs: Long) {
        val outcome = outcomeOf(answer)
        meters.counter("jacinthlink.calls", "outcome", outcome).increment()
        val detail =
            when (answer) {
                is CallAnswer.Executed -> "status" to answer.status
                is CallAnswer.Refused -> "code" to answer.code
                is CallAnswer.Unknown -> "reason" to answer.message
                is CallAnswer.InProgress -> "keyed" to true
            }
        val fields = arrayOf("class" to request.workClass, "elapsed_ms" to elapsedMs, detail)
        events.record("call_$outcome", request.requestId, *fields)
    }

    /** Notes a cancellation and its answer. */
    internal fun cancelled(requestId: RequestId, answer: CallAnswer) =
        events.record("call_cancel_answered", requestId, "outcome" to outcomeOf(answer))

    /** Notes that the backend server stopped or began to answer probes. */
    internal fun readinessChanged(isReady: Boolean) =
        events.record(if (isReady) "service_ready" else "service_lost")

    /** Shows the present state of an executor. */
    internal fun watch(openCalls: () -> Int, unrecorded: () -> Int) {
        Gauge.builder("jacinthlink.calls.open") { openCalls() }.register(meters)
        Gauge.builder("jacinthlink.calls.unrecorded") { unrecorded() }.register(meters)
    }

    private fun outcomeOf(answer: CallAnswer): String =
        when (answer) {
            is CallAnswer.Executed -> if (answer.replayed) "replayed" else "executed"
            is CallAnswer.Refused -> "refused"
            is CallAnswer.Unknown -> "unknown"
            is CallAnswer.InProgress -> "in_progress"
        }
}
