package org.jacinthlink.decision.claims

import kotlin.random.Random
import org.jacinthlink.api.SwapResult
import org.jacinthlink.api.VersionedValue

internal val simulationLimits =
    ClaimLimits(
        maxBucketBytes = 800,
        retentionMs = 600,
        clockSkewMs = 50,
        slotCount = 3,
        minSliceBytes = 1
    )
private const val CALL_WINDOW_MS = 300L
private const val ATTEMPT_TIMEOUT_MS = 100L

internal enum class AttemptState {
    PENDING,
    OWNED,
    EXECUTED,
    REFUSED,
    UNKNOWN,
    REPLAYED,
    CANCELLED,
    KEY_REUSED
}

internal class Attempt(
    val operation: ClaimOperation,
    val deadlineMs: Long,
    val hash: String = "hash"
) {
    val key = operation.key
    var state = AttemptState.PENDING
}

private class SidecarModel(val skewMs: Long) {
    var ring = ClaimRing.unread()
    val waiting = mutableListOf<Attempt>()
    var batch: List<Attempt> = emptyList()
    var swap: CommitPlan.Swap? = null

    /**
     * Enqueues an operation that follows the outcome of an attempt: it records a result, or cancels
     * or releases a claim.
     */
    fun enqueueFollowUp(operation: ClaimOperation) {
        waiting += Attempt(operation, Long.MAX_VALUE)
    }
}

/** Simulates sidecars, a key-value service and callers; a seeded scheduler picks each next step. */
internal class ClaimSimulation(private val random: Random) {
    private var nowMs = 0L
    private val stored = mutableMapOf<Int, VersionedValue>()
    private val delayed = mutableListOf<Pair<CommitPlan.Swap, String>>()
    private val sidecars = List(3) { newSidecar() }.toMutableList()
    private val firstCallMs = mutableMapOf<String, Long>()
    private var nonces = 0
    private val executedCalls = mutableSetOf<Pair<String, String>>()
    private val attempts = mutableListOf<Attempt>()
    private val executions = mutableMapOf<String, Int>()
    val eventCounts = mutableMapOf<String, Int>()
    val violations = mutableListOf<String>()

    fun run(steps: Int) = repeat(steps) { step() }

    private fun step() {
        val index = random.nextInt(sidecars.size)
        val sidecar = sidecars[index]
        when (random.nextInt(1_000)) {
            in 0..169 -> receiveCall(sidecar)
            in 170..649 -> if (sidecar.swap == null) plan(sidecar) else swap(sidecar)
            in 650..829 -> sidecars.forEach(::finishOwned)
            in 830..844 -> sidecars[index] = newSidecar().also { countEvent("crash") }
            in 845..894 -> applyDelayedWrite()
            in 895..909 -> sidecar.waiting.randomOrNull(random)?.let(::timeOut)
            in 910..994 -> nowMs += random.nextLong(30)
            else -> nowMs += random.nextLong(1_500)
        }
    }

    private fun newSidecar() = SidecarModel(random.nextLong(-25, 26))

    private fun receiveCall(sidecar: SidecarModel) {
        // Callers retry a key for CALL_WINDOW_MS and then use the next one.
        val series = random.nextInt(2)
        val key = (0..100).map { "key$series-$it" }.first {
            nowMs <= firstCallMs.getOrPut(it) { nowMs } + CALL_WINDOW_MS
        }
        val nonce = "n${nonces++}"
        val hash = if (random.nextInt(6) == 0) "other" else "hash"
        val operation =
            if (random.nextInt(10) == 0) {
                ClaimOperation.Cancel(key, hash, nonce)
            } else {
                ClaimOperation.Begin(key, hash, nonce, nowMs + ATTEMPT_TIMEOUT_MS)
            }
        val attempt = Attempt(operation, nowMs + ATTEMPT_TIMEOUT_MS, hash)
        attempts += attempt
        sidecar.waiting += attempt
    }

    private fun plan(sidecar: SidecarModel) {
        sidecar.waiting.filter { nowMs > it.deadlineMs }.forEach(::timeOut)
        sidecar.waiting.removeAll { it.state != AttemptState.PENDING }
        val batch = sidecar.waiting.toList()
        if (batch.isEmpty()) return
        val localMs = nowMs + sidecar.skewMs
        val operations = batch.map { it.operation }
        when (val plan = planCommit(sidecar.ring, operations, localMs, simulationLimits)) {
            is CommitPlan.Read -> read(sidecar, plan.slot)
            is CommitPlan.Answer -> applyDecisions(sidecar, batch, plan.decisions)
            is CommitPlan.Swap -> {
                sidecar.batch = batch
                sidecar.swap = plan
            }
        }
    }

    private fun read(sidecar: SidecarModel, slot: Int) {
        val next = applyRead(sidecar.ring, slot, stored[slot], simulationLimits)
        if (next == null) violations += "slot $slot lost its claims" else sidecar.ring = next
    }

    private fun swap(sidecar: SidecarModel) {
        val swap = sidecar.swap ?: return
        sidecar.swap = null
        when (val outcome = applySwapResult(sidecar.ring, swap, send(swap))) {
            is CommitOutcome.Committed -> {
                if (outcome.ring.claimCount < sidecar.ring.claimCount) countEvent("pruned")
                sidecar.ring = outcome.ring
                applyDecisions(sidecar, sidecar.batch, outcome.decisions)
            }
            is CommitOutcome.Conflicting -> sidecar.ring = outcome.ring
            is CommitOutcome.NotWritten -> Unit
            is CommitOutcome.InDoubt -> sidecar.ring = outcome.ring
        }
    }

    private fun send(swap: CommitPlan.Swap): SwapResult {
        val value = encodeSlice(swap.slice)
        return when (random.nextInt(10)) {
            0 -> SwapResult.NotSent("down")
            1 -> SwapResult.Unknown("not applied")
            2 -> SwapResult.Unknown("applied").also { store(swap, value) }
            3, 4 -> SwapResult.Unknown("later").also { delayed += swap to value }
            else -> store(swap, value)
        }
    }

    private fun store(swap: CommitPlan.Swap, value: String): SwapResult {
        val current = stored[swap.slot]
        val version = current?.version ?: 0
        if (version != swap.expectedVersion) return SwapResult.Conflict(current)
        stored[swap.slot] = VersionedValue(value, version + 1)
        if (swap.slice.isSealed) countEvent("sealed")
        if (swap.slice.generation >= simulationLimits.slotCount) {
            countEvent("written to a reused slot")
        }
        return SwapResult.Swapped(version + 1)
    }

    private fun applyDelayedWrite() {
        if (delayed.isEmpty()) return
        val (swap, value) = delayed.removeAt(random.nextInt(delayed.size))
        if (store(swap, value) is SwapResult.Swapped) countEvent("late write took effect")
    }

    private fun applyDecisions(
        sidecar: SidecarModel,
        batch: List<Attempt>,
        decisions: List<ClaimDecision>
    ) {
        batch.zip(decisions).forEach { (attempt, decision) ->
            if (attempt.state == AttemptState.PENDING) {
                attempt.state = stateAfter(decision)
            } else if (decision == ClaimDecision.Owned) {
                sidecar.enqueueFollowUp(
                    ClaimOperation.Release(attempt.key, attempt.operation.nonce)
                )
            }
        }
        sidecar.waiting.removeAll(batch.filter { it.state != AttemptState.OWNED })
    }

    private fun stateAfter(decision: ClaimDecision): AttemptState =
        when (decision) {
            ClaimDecision.Owned -> AttemptState.OWNED
            ClaimDecision.Cancelled -> AttemptState.CANCELLED.also { countEvent("cancelled") }
            is ClaimDecision.Done -> AttemptState.REPLAYED.also { countEvent("replayed") }
            is ClaimDecision.Held -> AttemptState.UNKNOWN
            ClaimDecision.KeyReused -> AttemptState.KEY_REUSED.also { countEvent("key reused") }
            else -> AttemptState.REFUSED
        }

    private fun timeOut(attempt: Attempt) {
        if (attempt.state != AttemptState.PENDING || attempt.deadlineMs == Long.MAX_VALUE) return
        val isCall = attempt.operation is ClaimOperation.Begin
        attempt.state = if (isCall) AttemptState.REFUSED else AttemptState.UNKNOWN
    }

    private fun finishOwned(sidecar: SidecarModel) {
        val attempt = sidecar.waiting.firstOrNull { it.state == AttemptState.OWNED } ?: return
        sidecar.waiting.remove(attempt)
        val nonce = attempt.operation.nonce
        when {
            nowMs > attempt.deadlineMs -> {
                attempt.state = AttemptState.REFUSED
                sidecar.enqueueFollowUp(ClaimOperation.Cancel(attempt.key, attempt.hash, nonce))
            }
            random.nextInt(5) == 0 -> {
                attempt.state = AttemptState.REFUSED
                sidecar.enqueueFollowUp(ClaimOperation.Release(attempt.key, nonce))
            }
            else -> {
                execute(attempt)
                val result = RecordedResult(200, emptyMap(), "ok")
                sidecar.enqueueFollowUp(
                    ClaimOperation.Complete(attempt.key, attempt.hash, nonce, result)
                )
            }
        }
    }

    private fun execute(attempt: Attempt) {
        countEvent("executed")
        if (attempt.state == AttemptState.REFUSED) violations += "an attempt ran after its refusal"
        attempt.state = AttemptState.EXECUTED
        if (executions.merge(attempt.key, 1, Int::plus)!! > 1) {
            violations += "${attempt.key} ran twice"
        }
        executedCalls += attempt.key to attempt.hash
    }

    /**
     * Checks that a cancelled key, and a call refused because its key was reused, are executed
     * neither before nor after the refusal.
     */
    fun checkFinalRefusals() =
        attempts.forEach { attempt ->
            val isViolation =
                when (attempt.state) {
                    AttemptState.CANCELLED -> attempt.key in executions
                    AttemptState.KEY_REUSED -> (attempt.key to attempt.hash) in executedCalls
                    else -> false
                }
            if (isViolation) violations += "${attempt.key} ran and is ${attempt.state}"
        }

    private fun countEvent(event: String) = eventCounts.merge(event, 1, Int::plus)
}
