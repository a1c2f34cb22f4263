package org.jacinthlink.sidecar.calls

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.CallRequest
import org.jacinthlink.api.PlainCall
import org.jacinthlink.api.PlainResult
import org.jacinthlink.api.PlainService
import org.jacinthlink.api.ResultCode
import org.jacinthlink.decision.claims.Claim
import org.jacinthlink.decision.claims.ClaimDecision
import org.jacinthlink.decision.claims.ClaimOperation
import org.jacinthlink.decision.claims.ClaimState
import org.jacinthlink.decision.claims.RecordedResult

/** Claims and executes single calls. Safe for use by several threads. */
internal class CallRunner(
    private val service: PlainService,
    private val claims: ClaimStore,
    private val settings: CallExecutorSettings,
    private val clocks: SidecarClocks,
    private val monitor: CallMonitor
) {
    /** Attempts of this process that own their claim and execute or wait for a worker. */
    private val runningNonces = ConcurrentHashMap.newKeySet<String>()

    /** Answers whose records are still on their way to the key-value service. */
    private val unrecorded = ConcurrentHashMap<String, UnrecordedAnswer>()

    private class UnrecordedAnswer(val bodyHash: String, val answer: CallAnswer)

    /** Number of results that are not recorded yet. */
    val unrecordedCount: Int get() = unrecorded.size

    /** Answer to a repetition of a call that has ended, if this process knows of it. */
    fun knownAnswer(key: String, bodyHash: String): CallAnswer? {
        val pending = unrecorded[key]
        return if (pending == null) {
            claims.lastSeen(key)?.let { finalAnswer(it, bodyHash) }
        } else if (pending.bodyHash == bodyHash) {
            pending.answer
        } else {
            keyReused()
        }
    }

    /** Claims [call], which has [key]. No thread waits for the key-value service meanwhile. */
    fun claim(call: PendingCall, key: String): CompletableFuture<ClaimStep> {
        knownAnswer(key, call.request.bodyHash)?.let { return ended(it) }
        val startMs = clocks.monotonic.nowMs()
        val timeoutMs = minOf(call.claimDeadlineMs - startMs, settings.claimTimeoutMs)
        if (timeoutMs <= 0) return ended(outOfTime(call))
        val operation =
            ClaimOperation.Begin(key, call.request.bodyHash, call.nonce, call.dueAtWallMs)
        return claims.submit(operation, timeoutMs, call.needsFreshRead).thenApply { result ->
            stepOf(call, key, result).also {
                val elapsedMs = clocks.monotonic.nowMs() - startMs
                if (it == ClaimStep.Owned) monitor.claimWritten(call.request, elapsedMs)
            }
        }
    }

    private fun stepOf(call: PendingCall, key: String, result: ClaimResult): ClaimStep =
        when (result) {
            is ClaimResult.Unavailable ->
                ClaimStep.Ended(claimUnavailable(call, key, result.message))
            is ClaimResult.Decided ->
                when (val decision = result.decision) {
                    ClaimDecision.Owned -> ClaimStep.Owned.also { runningNonces += call.nonce }
                    is ClaimDecision.Held -> held(call, decision.claim)
                    else -> ClaimStep.Ended(settled(decision))
                }
        }

    private fun outOfTime(call: PendingCall): CallAnswer =
        if (call.hasMetHolder) {
            CallAnswer.InProgress
        } else {
            refused(ResultCode.DEADLINE_UNREACHABLE, "no time remains to claim the call")
        }

    private fun ended(answer: CallAnswer): CompletableFuture<ClaimStep> =
        CompletableFuture.completedFuture(ClaimStep.Ended(answer))

    /** Answer by a claim that no longer changes. */
    fun settled(decision: ClaimDecision): CallAnswer =
        when (decision) {
            is ClaimDecision.Done -> replayed(decision.result)
            ClaimDecision.Cancelled -> cancelled()
            ClaimDecision.KeyReused -> keyReused()
            ClaimDecision.Full ->
                refused(ResultCode.CLAIM_UNAVAILABLE, "the bucket of the key has no room")
            ClaimDecision.Owned, ClaimDecision.Released, is ClaimDecision.Held ->
                CallAnswer.Unknown("the claim is not settled")
        }

    /** True if the claimer of [claim] had its time and brought no result. */
    fun isDead(claim: Claim): Boolean =
        claim.nonce !in runningNonces &&
            clocks.wall.nowMs() > claim.dueAtMs + settings.deadClaimGraceMs

    // A refusal must not say "not run" of a call that an earlier attempt may have run.
    private fun claimUnavailable(call: PendingCall, key: String, message: String): CallAnswer {
        val seen = claims.lastSeen(key)
        val isClaimed = seen?.state == ClaimState.CLAIMED && seen.nonce != call.nonce
        return if (isClaimed) {
            CallAnswer.Unknown("an earlier attempt claimed the call; $message")
        } else {
            refused(ResultCode.CLAIM_UNAVAILABLE, message)
        }
    }

    private fun held(call: PendingCall, claim: Claim): ClaimStep {
        call.hasMetHolder = true
        call.needsFreshRead = claim.nonce !in runningNonces
        return when {
            isDead(claim) ->
                ClaimStep.Ended(
                    CallAnswer.Unknown("the attempt that claimed the call brought no result")
                )
            remainingMs(call) <= settings.holderPollMs -> ClaimStep.Ended(CallAnswer.InProgress)
            else -> ClaimStep.Held
        }
    }

    /** Forbids the call of [key] for ever, whose claim [call] owns and will not use. */
    fun forfeit(call: PendingCall, key: String) {
        claims.submitInBackground(ClaimOperation.Cancel(key, call.request.bodyHash, call.nonce))
        runningNonces -= call.nonce
    }

    /** Runs [call], whose claim is owned if it has a key. */
    fun run(call: PendingCall): CallAnswer =
        call.claimKey?.let { runClaimed(call, it) } ?: runUnclaimed(call)

    private fun runClaimed(call: PendingCall, key: String): CallAnswer {
        if (remainingMs(call) <= 0) {
            forfeit(call, key)
            return refused(ResultCode.DEADLINE_UNREACHABLE, "the deadline passed before the run")
        }
        val result = send(call)
        if (result is PlainResult.NotSent) {
            claims.submitInBackground(ClaimOperation.Release(key, call.nonce))
        } else {
            record(call, key, result)
        }
        runningNonces -= call.nonce
        return answerOf(result)
    }

    private fun record(call: PendingCall, key: String, result: PlainResult) {
        val bodyHash = call.request.bodyHash
        val recorded =
            (result as? PlainResult.Answered)
                ?.let { RecordedResult(it.status, it.headers, it.body) }
        val pending = UnrecordedAnswer(bodyHash, replayed(recorded))
        unrecorded[key] = pending
        claims.submitInBackground(ClaimOperation.Complete(key, bodyHash, call.nonce, recorded))
            .whenComplete { _, _ -> unrecorded.remove(key, pending) }
    }

    private fun runUnclaimed(call: PendingCall): CallAnswer =
        if (remainingMs(call) <= 0) {
            refused(ResultCode.DEADLINE_UNREACHABLE, "the deadline passed before the run")
        } else {
            answerOf(send(call))
        }

    private fun send(call: PendingCall): PlainResult {
        val startMs = clocks.monotonic.nowMs()
        return sendSafely(call).also { monitor.called(clocks.monotonic.nowMs() - startMs) }
    }

    private fun sendSafely(call: PendingCall): PlainResult =
        try {
            service.call(plainCall(call.request), remainingMs(call))
        } catch (e: Exception) {
            logger.error(e) { "event=call_failed request_id=${call.request.requestId.value}" }
            PlainResult.Unknown("internal error: ${e.javaClass.simpleName}")
        }

    private fun remainingMs(call: PendingCall) = call.deadlineMs - clocks.monotonic.nowMs()

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}

private fun plainCall(request: CallRequest) =
    PlainCall(request.method, request.path, request.headers, request.body)

private fun answerOf(result: PlainResult): CallAnswer =
    when (result) {
        is PlainResult.Answered ->
            CallAnswer.Executed(result.status, result.headers, result.body)
        is PlainResult.NotSent -> refused(ResultCode.NO_BACKEND_SERVER, result.message)
        is PlainResult.Unknown -> CallAnswer.Unknown(result.message)
    }
