package org.jacinthlink.sidecar.calls

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.KeyValueService
import org.jacinthlink.api.ReadResult
import org.jacinthlink.decision.claims.ClaimDecision
import org.jacinthlink.decision.claims.ClaimOperation
import org.jacinthlink.decision.claims.ClaimRing
import org.jacinthlink.decision.claims.CommitOutcome
import org.jacinthlink.decision.claims.CommitPlan
import org.jacinthlink.decision.claims.applyRead
import org.jacinthlink.decision.claims.applySwapResult
import org.jacinthlink.decision.claims.encodeSlice
import org.jacinthlink.decision.claims.planCommit

/**
 * Writes one bucket, with one write in flight. Operations that arrive meanwhile share the next
 * write.
 */
internal class BucketWriter(
    private val storageKey: String,
    private val keyValue: KeyValueService,
    private val settings: ClaimStoreSettings,
    private val clocks: SidecarClocks,
    private val executor: ScheduledExecutorService
) {
    private val waiting = ArrayDeque<PendingOperation>()
    private var isScheduled = false
    private var nextWriteAtMs = clocks.monotonic.nowMs()
    private var backoffMs = 0L

    // The fields below belong to the one flush that is in progress.
    private var ring = ClaimRing.unread()
    private var seenAtMs = 0L

    /** Latest state seen. Its done and cancelled claims are final, however old it is. */
    @Volatile
    var lastSeen: ClaimRing = ring
        private set

    val isIdle: Boolean get() = synchronized(waiting) { waiting.isEmpty() && !isScheduled }

    fun submit(pending: PendingOperation) {
        synchronized(waiting) {
            if (waiting.size >= settings.maxWaiting) {
                pending.giveUp("${waiting.size} operations wait for $storageKey")
            } else {
                waiting.addLast(pending)
                schedule()
            }
        }
    }

    private fun schedule() {
        if (isScheduled || waiting.isEmpty()) return
        val delayMs =
            if (backoffMs > 0) backoffMs else nextWriteAtMs - clocks.monotonic.nowMs()
        try {
            executor.schedule(::flush, delayMs.coerceAtLeast(0), TimeUnit.MILLISECONDS)
            isScheduled = true
        } catch (_: RejectedExecutionException) {
            waiting.forEach { it.giveUp("the process stops") }
            waiting.clear()
        }
    }

    private fun flush() {
        val batch = synchronized(waiting) { waiting.toList().also { waiting.clear() } }
        val unsettled =
            try {
                commit(batch)
            } catch (e: Exception) {
                logger.error(e) { "event=claim_write_failed key=$storageKey" }
                ring = ClaimRing.unread()
                inDoubt(batch)
            }
        synchronized(waiting) {
            isScheduled = false
            unsettled.asReversed().forEach(waiting::addFirst)
            schedule()
        }
    }

    /** Tries one write for [batch] and returns the operations that need another one. */
    private fun commit(batch: List<PendingOperation>): List<PendingOperation> {
        val live = batch.mapNotNull(::liveOrRelease)
        if (live.isEmpty()) return emptyList()
        val nowMs = clocks.monotonic.nowMs()
        if (live.any { it.needsFreshRead } && nowMs - seenAtMs >= settings.readIntervalMs) {
            ring = ring.withoutNewest(settings.limits)
        }
        val operations = live.map { it.operation }
        while (true) {
            val plan = planCommit(ring, operations, clocks.wall.nowMs(), settings.limits)
            when (plan) {
                is CommitPlan.Read ->
                    readSlot(plan.slot)?.let { return unread(live, it) }
                is CommitPlan.Answer -> return settle(live, plan.decisions)
                is CommitPlan.Swap -> return swap(live, plan)
            }
        }
    }

    /**
     * Returns [pending], or null if it was given up. A claim that a given-up attempt may have
     * written is released, so that it does not block a repetition of its call.
     */
    private fun liveOrRelease(pending: PendingOperation): PendingOperation? {
        if (clocks.monotonic.nowMs() >= pending.deadlineMs) {
            pending.giveUp("no answer of the key-value service in time")
        }
        if (!pending.future.isDone) return pending
        return if (pending.isInDoubt) releaseOf(pending.operation) else null
    }

    private fun releaseOf(operation: ClaimOperation): PendingOperation? =
        if (operation is ClaimOperation.Begin) {
            PendingOperation(
                ClaimOperation.Release(operation.key, operation.nonce),
                clocks.monotonic.nowMs() + settings.recordTimeoutMs,
                isBackground = true
            )
        } else {
            null
        }

    /** Reads [slot]; returns the failure if there is one. */
    private fun readSlot(slot: Int): ReadResult.Unavailable? =
        when (val read = keyValue.get(keyOf(slot))) {
            is ReadResult.Unavailable -> read
            is ReadResult.Found -> {
                val next = applyRead(ring, slot, read.value, settings.limits)
                next?.let(::seen)
                if (next == null) unreadable(slot) else null
            }
        }

    private fun unreadable(slot: Int) =
        ReadResult.Unavailable("the claims in ${keyOf(slot)} are unreadable")

    // A service that is only slow answers a later read within the time of the callers.
    private fun unread(
        live: List<PendingOperation>,
        failure: ReadResult.Unavailable
    ): List<PendingOperation> =
        if (failure.wasSent) live.also { backOff() } else unavailable(live, failure.message)

    private fun swap(live: List<PendingOperation>, plan: CommitPlan.Swap): List<PendingOperation> {
        nextWriteAtMs = clocks.monotonic.nowMs() + settings.writeIntervalMs
        val value = encodeSlice(plan.slice)
        val result = keyValue.compareAndSwap(keyOf(plan.slot), plan.expectedVersion, value)
        return when (val outcome = applySwapResult(ring, plan, result)) {
            is CommitOutcome.Committed -> {
                seen(outcome.ring)
                settle(live, outcome.decisions)
            }
            is CommitOutcome.Conflicting -> {
                seen(outcome.ring)
                live
            }
            is CommitOutcome.NotWritten -> unavailable(live, outcome.message)
            is CommitOutcome.InDoubt -> {
                ring = outcome.ring
                inDoubt(live)
            }
        }
    }

    /** Storage key of [slot]. The first slot has the key of versions that kept no slices. */
    private fun keyOf(slot: Int) = if (slot == 0) storageKey else "$storageKey/$slot"

    private fun seen(next: ClaimRing) {
        ring = next
        seenAtMs = clocks.monotonic.nowMs()
        if (next.slotToRead(clocks.wall.nowMs(), settings.limits) == null) lastSeen = next
        backoffMs = 0
    }

    private fun settle(
        live: List<PendingOperation>,
        decisions: List<ClaimDecision>
    ): List<PendingOperation> =
        live.zip(decisions).mapNotNull { (pending, decision) ->
            val isAbandoned = !pending.settle(decision) && decision == ClaimDecision.Owned
            if (isAbandoned) releaseOf(pending.operation) else null
        }

    private fun inDoubt(live: List<PendingOperation>): List<PendingOperation> {
        backOff()
        live.forEach { it.isInDoubt = true }
        return live
    }

    private fun unavailable(
        live: List<PendingOperation>,
        message: String
    ): List<PendingOperation> {
        backOff()
        val (kept, failed) = live.partition { it.isBackground || it.isInDoubt }
        failed.forEach { it.giveUp("the key-value service is unavailable: $message") }
        return kept
    }

    private fun backOff() {
        backoffMs =
            (backoffMs * 2).coerceIn(settings.writeIntervalMs, settings.maxBackoffMs)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
