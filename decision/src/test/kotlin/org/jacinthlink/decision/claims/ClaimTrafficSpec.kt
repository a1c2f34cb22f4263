package org.jacinthlink.decision.claims

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.UUID
import kotlin.random.Random
import org.jacinthlink.api.SwapResult

private const val BUCKETS = 16
private const val SIDECARS = 3
private const val MAX_BYTES_PER_SECOND = 13_000.0
private const val START_MS = 1_700_000_000_000L
private const val HALF_RUN_MS = 3_800_000L

/**
 * Guards against claims that fill their bucket within a retention period, or cause more control
 * traffic than a sidecar may.
 */
class ClaimTrafficSpec :
    DescribeSpec({
        describe("steady keyed calls for over two retention periods, one write per change") {
            listOf(1, 2, 4, 8, 16, 64).forEach { rate ->
                it("are not refused and stay within the sidecar traffic limit at $rate calls/s") {
                    val cost = BucketCost(rate.toDouble() / BUCKETS)
                    println("claim cost at $rate calls/s: $cost")
                    cost.refused shouldBe 0
                    if (rate <= 8) {
                        withClue("bytes/s of a sidecar") {
                            BUCKETS * cost.bytesPerSecond / SIDECARS shouldBeLessThan
                                MAX_BYTES_PER_SECOND
                        }
                    }
                }
            }
        }
    })

/** Runs one bucket in simulated time and measures the second half of the run. */
private class BucketCost(callsPerSecond: Double) {
    private val random = Random(1)
    private val stepMs = 1_000 / callsPerSecond
    private var ring = ClaimRing.unread()
    private var nowMs = START_MS
    private var writes = 0
    private var bytes = 0L
    private var largest = 0
    var refused = 0
        private set
    val bytesPerSecond get() = bytes * 1_000.0 / HALF_RUN_MS

    init {
        (0 until (2 * HALF_RUN_MS / stepMs).toInt()).forEach(::call)
    }

    private fun call(index: Int) {
        nowMs = START_MS + (index * stepMs).toLong()
        val key = "4:shop:${uuid()}"
        val hash = List(8) { "%08x".format(random.nextInt()) }.joinToString("")
        val body = "{\"booking\":\"${uuid()}\",\"status\":\"confirmed\"}".padEnd(200, 'x')
        val nonce = uuid()
        val result = RecordedResult(200, emptyMap(), body)
        commit(ClaimOperation.Begin(key, hash, nonce, nowMs + 2_000), ClaimDecision.Owned)
        commit(ClaimOperation.Complete(key, hash, nonce, result), ClaimDecision.Done(result))
    }

    private fun commit(operation: ClaimOperation, expected: ClaimDecision) {
        while (true) {
            when (val plan = planCommit(ring, listOf(operation), nowMs)) {
                is CommitPlan.Read -> ring = applyRead(ring, plan.slot, null)!!
                is CommitPlan.Answer ->
                    return countRefusalUnless(plan.decisions.single() == expected)
                is CommitPlan.Swap -> {
                    write(plan)
                    return countRefusalUnless(plan.decisions.single() == expected)
                }
            }
        }
    }

    private fun write(swap: CommitPlan.Swap) {
        val value = encodeSlice(swap.slice)
        largest = maxOf(largest, value.length)
        if (nowMs >= START_MS + HALF_RUN_MS) {
            writes++
            bytes += value.length
        }
        val swapped = SwapResult.Swapped(swap.expectedVersion + 1)
        ring = (applySwapResult(ring, swap, swapped) as CommitOutcome.Committed).ring
    }

    private fun countRefusalUnless(isExpected: Boolean) {
        if (!isExpected) refused++
    }

    private fun uuid() = UUID(random.nextLong(), random.nextLong()).toString()

    override fun toString() =
        "%.1f writes/s, %.0f bytes/s over %d buckets, largest value %d bytes, %d refused".format(
            BUCKETS * writes * 1_000.0 / HALF_RUN_MS,
            BUCKETS * bytesPerSecond,
            BUCKETS,
            largest,
            refused
        )
}
