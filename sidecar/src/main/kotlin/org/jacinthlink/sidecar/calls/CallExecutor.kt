package org.jacinthlink.sidecar.calls

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.UUID
import java.util.concurrent.atomic.AtomicBoolean
import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.CallCancel
import org.jacinthlink.api.CallRequest
import org.jacinthlink.api.LoadReport
import org.jacinthlink.api.ResultCode
import org.jacinthlink.decision.claims.ClaimDecision
import org.jacinthlink.decision.claims.ClaimOperation
import org.jacinthlink.decision.claims.claimKey
import org.jacinthlink.decision.routing.AdmissionDecision
import org.jacinthlink.runtime.configuration.ConfigurationView
import org.jacinthlink.runtime.supervision.Scope

/** Executes the calls of one plain service; a call with an idempotency key at most once. */
class CallExecutor internal constructor(
    parts: CallParts,
    private val runner: CallRunner,
    private val queue: CallQueue,
    private val settings: CallExecutorSettings,
    private val clocks: SidecarClocks
) {
    private val holding = parts.holding
    private val claims = parts.claims
    private val monitor = parts.monitor
    private val isDraining = AtomicBoolean(false)

    /** Number of calls that wait, run or have a result to record; a graceful stop awaits them. */
    val openCalls: Int get() = queue.openCalls + runner.unrecordedCount

    /** Present load of this executor. */
    fun load(): LoadReport = queue.load(clocks.wall.nowMs())

    /** Refuses new calls from now on. */
    fun drain() = isDraining.set(true)

    /** Queues [request]; [onAnswer] is called exactly once, from any thread. */
    fun submit(request: CallRequest, onAnswer: (CallAnswer) -> Unit) {
        val nowMs = clocks.monotonic.nowMs()
        val remainingMs = minOf(request.remainingMs, maxRemainingMs())
        val dueAtWallMs = clocks.wall.nowMs() + remainingMs
        val call =
            PendingCall(request, nowMs, nowMs + remainingMs, dueAtWallMs) { answer ->
                monitor.answered(request, answer, clocks.monotonic.nowMs() - nowMs)
                onAnswer(answer)
            }
        val answer =
            refusal(request)
                ?: call.claimKey?.let { runner.knownAnswer(it, request.bodyHash) }
                ?: (queue.offer(call, nowMs) as? AdmissionDecision.Refused)
                    ?.let { CallAnswer.Refused(it.code, it.message, it.retryAfterMs) }
        answer?.let(call::answer)
    }

    /** Forbids the call of [cancel] for ever, unless it was claimed before. */
    fun cancel(cancel: CallCancel, onAnswer: (CallAnswer) -> Unit) {
        val key = claimKey(cancel.workspace, cancel.idempotencyKey)
        val known =
            if (cancel.service != holding.service) {
                CallAnswer.Unknown("this sidecar serves ${holding.service}")
            } else {
                runner.knownAnswer(key, cancel.bodyHash)
            }
        val answered = { answer: CallAnswer ->
            monitor.cancelled(cancel.requestId, answer)
            onAnswer(answer)
        }
        if (known != null) return answered(known)
        val nonce = "cancel-${UUID.randomUUID()}"
        val operation = ClaimOperation.Cancel(key, cancel.bodyHash, nonce)
        claims.submit(operation, settings.cancelTimeoutMs, fresh = true)
            .thenAccept { answered(cancelAnswer(it)) }
    }

    /** Takes calls from the queue until the thread is interrupted. */
    internal fun work() {
        while (!Thread.currentThread().isInterrupted) {
            queue.take(WORKER_WAIT_MS, clocks.monotonic::nowMs)?.let(::serve)
        }
    }

    internal fun tick() {
        queue.takeExpired(clocks.monotonic.nowMs()).forEach { call ->
            call.claimKey?.takeIf { call.isClaimed }?.let { runner.forfeit(call, it) }
            call.answerUnserved(
                ResultCode.DEADLINE_UNREACHABLE,
                "the deadline passed while the call waited"
            )
        }
    }

    internal fun stop() {
        drain()
        queue.takeAll().forEach { it.answerUnserved(ResultCode.DRAINING, "the sidecar stops") }
    }

    private fun serve(call: PendingCall) {
        val key = call.claimKey?.takeUnless { call.isClaimed }
        if (key == null) run(call) else claim(call, key)
    }

    private fun run(call: PendingCall) {
        val startMs = clocks.monotonic.nowMs()
        var answer: CallAnswer = CallAnswer.Unknown("internal error")
        try {
            answer = runner.run(call)
        } finally {
            queue.finished(clocks.monotonic.nowMs() - startMs)
            call.answer(answer)
        }
    }

    private fun claim(call: PendingCall, key: String) {
        queue.awaitClaim(call)
        runner.claim(call, key).whenComplete { step, failure ->
            failure?.let { logger.error(it) { "event=claim_failed call=${call.nonce}" } }
            proceed(call, step ?: ClaimStep.Ended(CallAnswer.Unknown("internal error")))
        }
    }

    private fun proceed(call: PendingCall, step: ClaimStep) {
        when (step) {
            is ClaimStep.Ended -> {
                queue.leave(call)
                call.answer(step.answer)
            }
            ClaimStep.Held -> queue.park(call, clocks.monotonic.nowMs() + settings.holderPollMs)
            ClaimStep.Owned -> {
                call.isClaimed = true
                queue.resume(call)
            }
        }
    }

    private fun refusal(request: CallRequest): CallAnswer? =
        when {
            isDraining.get() -> refused(ResultCode.DRAINING, "the sidecar is draining")
            request.service != holding.service ->
                refused(ResultCode.UNKNOWN_SERVICE, "this sidecar serves ${holding.service}")
            request.idempotencyKey == null && request.method !in holding.idempotentMethods ->
                refused(ResultCode.IDEMPOTENCY_KEY_MISSING, "${request.method} needs a key")
            request.remainingMs <= 0 || isLate(request) ->
                refused(ResultCode.DEADLINE_UNREACHABLE, "no time remains for the call")
            else -> null
        }

    // A process that was frozen reads calls whose claims may have been dropped meanwhile.
    private fun isLate(request: CallRequest): Boolean {
        val sentAtMs = request.sentAtMs ?: return false
        val latestMs = sentAtMs + request.remainingMs + claims.limits.clockSkewMs
        return clocks.wall.nowMs() > latestMs
    }

    /** An execution must end well before the claim of its key is dropped. */
    private fun maxRemainingMs() = claims.limits.retentionMs / 4

    private fun cancelAnswer(result: ClaimResult): CallAnswer =
        when (result) {
            is ClaimResult.Unavailable -> CallAnswer.Unknown(result.message)
            is ClaimResult.Decided ->
                when (val decision = result.decision) {
                    is ClaimDecision.Held ->
                        if (runner.isDead(decision.claim)) {
                            CallAnswer.Unknown("the call was claimed before and brought no result")
                        } else {
                            CallAnswer.InProgress
                        }
                    ClaimDecision.Full ->
                        CallAnswer.Unknown("the bucket of the key has no room for a cancellation")
                    else -> runner.settled(decision)
                }
        }

    private companion object {
        // Arriving calls wake the workers; the wait only bounds the loss of a wake-up.
        const val WORKER_WAIT_MS = 60_000L

        val logger = KotlinLogging.logger {}
    }
}

/** Starts an executor that ends with [scope]. */
fun callExecutor(
    parts: CallParts,
    configuration: ConfigurationView,
    scope: Scope,
    settings: CallExecutorSettings = CallExecutorSettings(),
    clocks: SidecarClocks = sidecarClocks()
): CallExecutor {
    val queue = CallQueue(settings, configuration.current.classes)
    val runner = CallRunner(parts.service, parts.claims, settings, clocks, parts.monitor)
    val executor = CallExecutor(parts, runner, queue, settings, clocks)
    parts.monitor.watch({ executor.openCalls }, { runner.unrecordedCount })
    configuration.addListener { queue.update(it.classes) }
    repeat(settings.concurrency) { scope.run("call-worker-$it", executor::work) }
    scope.repeat("call-deadlines", { TICK_MS }) {
        queue.idleGate.pass()
        executor.tick()
    }
    scope.onClose(executor::stop)
    return executor
}

private const val TICK_MS = 25L
