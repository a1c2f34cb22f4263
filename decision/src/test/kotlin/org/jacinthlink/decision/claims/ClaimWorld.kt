package org.jacinthlink.decision.claims

import kotlin.random.Random
import org.jacinthlink.api.SwapResult
import org.jacinthlink.api.VersionedValue

internal val worldLimits =
    ClaimLimits(
        maxBucketBytes = 800,
        retentionMs = 600,
        clockSkewMs = 50,
        slotCount = 3,
        minSliceBytes = 1
    )
private const val CALL_WINDOW_MS = 300L
private const val ATTEMPT_LIFE_MS = 100L

internal enum class Fate {
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
    var fate = Fate.PENDING
}

private class SidecarModel(val skewMs: Long) {
    var ring = ClaimRing.unread()
    val waiting = mutableListOf<Attempt>()
    var batch: List<Attempt> = emptyList()
    var swap: CommitPlan.Swap? = null

    /** Operations after the fate of an attempt: results to record, claims to cancel or release. */
    fun followUp(operation: ClaimOperation) {
        waiting += Attempt(operation, Long.MAX_VALUE)
    }
}

/** Sidecars, a key-value service and callers, of which a seeded scheduler picks each next step. */
internal class ClaimWorld(private val random: Random) {
    private var nowMs = 0L
    private val stored = mutableMapOf<Int, VersionedValue>()
    private val delayed = mutableListOf<Pair<CommitPlan.Swap, String>>()
    private val sidecars = List(3) { newSidecar() }.toMutableList()
    private val firstCallMs = mutableMapOf<String, Long>()
    private var nonces = 0
    private val ran = mutableSetOf<Pair<String, String>>()
    private val attempts = mutableListOf<Attempt>()
    private val executions = mutableMapOf<String, Int>()
    val seen = mutableMapOf<String, Int>()
    val faults = mutableListOf<String>()

    fun run(steps: Int) = repeat(steps) { step() }

    private fun step() {
        val index = random.nextInt(sidecars.size)
        val sidecar = sidecars[index]
        when (random.nextInt(1_000)) {
            in 0..169 -> arrive(sidecar)
            in 170..649 -> if (sidecar.swap == null) plan(sidecar) else swap(sidecar)
            in 650..829 -> sidecars.forEach(::finishOwned)
            in 830..844 -> sidecars[index] = newSidecar().also { note("crash") }
            in 845..894 -> landDelayedWrite()
            in 895..909 -> sidecar.waiting.randomOrNull(random)?.let(::giveUp)
            in 910..994 -> nowMs += random.nextLong(30)
            else -> nowMs += random.nextLong(1_500)
        }
    }

    private fun newSidecar() = SidecarModel(random.nextLong(-25, 26))

    private fun arrive(sidecar: SidecarModel) {
        // Callers repeat a key for a while and then go on to the next one.
        val slot = random.nextInt(2)
        val key = (0..100).map { "key$slot-$it" }.first {
            nowMs <= firstCallMs.getOrPut(it) { nowMs } + CALL_WINDOW_MS
        }
        val nonce = "n${nonces++}"
        val hash = if (random.nextInt(6) == 0) "other" else "hash"
        val operation =
            if (random.nextInt(10) == 0) {
                ClaimOperation.Cancel(key, hash, nonce)
            } else {
                ClaimOperation.Begin(key, hash, nonce, nowMs + ATTEMPT_LIFE_MS)
            }
        val attempt = Attempt(operation, nowMs + ATTEMPT_LIFE_MS, hash)
        attempts += attempt
        sidecar.waiting += attempt
    }

    private fun plan(sidecar: SidecarModel) {
        sidecar.waiting.filter { nowMs > it.deadlineMs }.forEach(::giveUp)
        sidecar.waiting.removeAll { it.fate != Fate.PENDING }
        val batch = sidecar.waiting.toList()
        if (batch.isEmpty()) return
        val localMs = nowMs + sidecar.skewMs
        val operations = batch.map { it.operation }
        when (val plan = planCommit(sidecar.ring, operations, localMs, worldLimits)) {
            is CommitPlan.Read -> read(sidecar, plan.slot)
            is CommitPlan.Answer -> settle(sidecar, batch, plan.decisions)
            is CommitPlan.Swap -> {
                sidecar.batch = batch
                sidecar.swap = plan
            }
        }
    }

    private fun read(sidecar: SidecarModel, slot: Int) {
        val next = applyRead(sidecar.ring, slot, stored[slot], worldLimits)
        if (next == null) faults += "slot $slot lost its claims" else sidecar.ring = next
    }

    private fun swap(sidecar: SidecarModel) {
        val swap = sidecar.swap ?: return
        sidecar.swap = null
        when (val outcome = applySwapResult(sidecar.ring, swap, send(swap))) {
            is CommitOutcome.Committed -> {
                if (outcome.ring.claimCount < sidecar.ring.claimCount) note("pruned")
                sidecar.ring = outcome.ring
                settle(sidecar, sidecar.batch, outcome.decisions)
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
        if (swap.slice.isSealed) note("sealed")
        if (swap.slice.generation >= worldLimits.slotCount) note("written to a reused slot")
        return SwapResult.Swapped(version + 1)
    }

    private fun landDelayedWrite() {
        if (delayed.isEmpty()) return
        val (swap, value) = delayed.removeAt(random.nextInt(delayed.size))
        if (store(swap, value) is SwapResult.Swapped) note("late write took effect")
    }

    private fun settle(
        sidecar: SidecarModel,
        batch: List<Attempt>,
        decisions: List<ClaimDecision>
    ) {
        batch.zip(decisions).forEach { (attempt, decision) ->
            if (attempt.fate == Fate.PENDING) {
                attempt.fate = fateOf(decision)
            } else if (decision == ClaimDecision.Owned) {
                sidecar.followUp(ClaimOperation.Release(attempt.key, attempt.operation.nonce))
            }
        }
        sidecar.waiting.removeAll(batch.filter { it.fate != Fate.OWNED })
    }

    private fun fateOf(decision: ClaimDecision): Fate =
        when (decision) {
            ClaimDecision.Owned -> Fate.OWNED
            ClaimDecision.Cancelled -> Fate.CANCELLED.also { note("cancelled") }
            is ClaimDecision.Done -> Fate.REPLAYED.also { note("replayed") }
            is ClaimDecision.Held -> Fate.UNKNOWN
            ClaimDecision.KeyReused -> Fate.KEY_REUSED.also { note("key reused") }
            else -> Fate.REFUSED
        }

    private fun giveUp(attempt: Attempt) {
        if (attempt.fate != Fate.PENDING || attempt.deadlineMs == Long.MAX_VALUE) return
        val isCall = attempt.operation is ClaimOperation.Begin
        attempt.fate = if (isCall) Fate.REFUSED else Fate.UNKNOWN
    }

    private fun finishOwned(sidecar: SidecarModel) {
        val attempt = sidecar.waiting.firstOrNull { it.fate == Fate.OWNED } ?: return
        sidecar.waiting.remove(attempt)
        val nonce = attempt.operation.nonce
        when {
            nowMs > attempt.deadlineMs -> {
                attempt.fate = Fate.REFUSED
                sidecar.followUp(ClaimOperation.Cancel(attempt.key, attempt.hash, nonce))
            }
            random.nextInt(5) == 0 -> {
                attempt.fate = Fate.REFUSED
                sidecar.followUp(ClaimOperation.Release(attempt.key, nonce))
            }
            else -> {
                execute(attempt)
                val result = RecordedResult(200, emptyMap(), "ok")
                sidecar.followUp(ClaimOperation.Complete(attempt.key, attempt.hash, nonce, result))
            }
        }
    }

    private fun execute(attempt: Attempt) {
        note("executed")
        if (attempt.fate == Fate.REFUSED) faults += "an attempt ran after its refusal"
        attempt.fate = Fate.EXECUTED
        if (executions.merge(attempt.key, 1, Int::plus)!! > 1) faults += "${attempt.key} ran twice"
        ran += attempt.key to attempt.hash
    }

    /** A cancelled key, and a call refused for its content, never run, before or after. */
    fun checkFinalRefusals() =
        attempts.forEach { attempt ->
            val isFault =
                when (attempt.fate) {
                    Fate.CANCELLED -> attempt.key in executions
                    Fate.KEY_REUSED -> (attempt.key to attempt.hash) in ran
                    else -> false
                }
            if (isFault) faults += "${attempt.key} ran and is ${attempt.fate}"
        }

    private fun note(event: String) = seen.merge(event, 1, Int::plus)
}
