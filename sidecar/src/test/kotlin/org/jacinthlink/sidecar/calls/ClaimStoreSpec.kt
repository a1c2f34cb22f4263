package org.jacinthlink.sidecar.calls

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random
import org.jacinthlink.api.ReadResult
import org.jacinthlink.api.SwapResult
import org.jacinthlink.decision.claims.ClaimDecision
import org.jacinthlink.decision.claims.ClaimLimits
import org.jacinthlink.decision.claims.ClaimOperation
import org.jacinthlink.decision.claims.RecordedResult

class ClaimStoreSpec :
    DescribeSpec({
        val quick = ClaimStoreSettings(bucketCount = 1, writeIntervalMs = 1, readIntervalMs = 0)
        val owned = ClaimResult.Decided(ClaimDecision.Owned)

        fun begin(key: String, nonce: String) =
            ClaimOperation.Begin(key, "hash", nonce, dueAtMs = 0)

        describe("two stores of one service") {
            it("never both own a key while answers of writes are lost (double execution)") {
                println("claim stores: seeds 1 to 10")
                for (seed in 1..10) {
                    val random = Random(seed)
                    val keyValue = FakeKeyValueService()
                    keyValue.nextFault = {
                        synchronized(random) {
                            keyValue.landLateWrites()
                            WriteFault.entries.random(random)
                        }
                    }
                    val stores = List(2) { claimStore("desk", keyValue, quick) }
                    val results =
                        (1..20).flatMap { key ->
                            stores.mapIndexed { index, store ->
                                "$key" to store.submit(begin("$key", "$index-$key"), 5_000)
                            }
                        }.groupBy({ it.first }) { it.second.get() }
                    withClue("seed=$seed") {
                        results.values.forEach { of -> of.filter { it == owned } shouldHaveSize 1 }
                    }
                    stores.forEach { it.close() }
                }
            }
        }

        describe("a write whose answer is lost") {
            it("is resolved by another write, so that it cannot take effect later") {
                val keyValue = FakeKeyValueService()
                val faults = ArrayDeque(listOf(WriteFault.LOST_LATE))
                keyValue.nextFault = { faults.removeFirstOrNull() ?: WriteFault.NONE }
                claimStore("desk", keyValue, quick).use { store ->
                    store.submit(begin("k", "n"), 2_000).get() shouldBe owned
                    keyValue.writes.get() shouldBe 2
                    keyValue.landLateWrites().single().shouldBeInstanceOf<SwapResult.Conflict>()
                }
            }
        }

        describe("a store that starts after slices were sealed") {
            it("finds the claims of all slices (double execution)") {
                val keyValue = FakeKeyValueService()
                val limits = ClaimLimits(maxBucketBytes = 2_000, slotCount = 5)
                val settings = quick.copy(limits = limits)
                val keys = (1..30).map { "k$it" }
                claimStore("desk", keyValue, settings).use { store ->
                    keys.forEach { store.submit(begin(it, "1-$it"), 2_000).get() shouldBe owned }
                }
                keyValue.get("jacinthlink/claims/desk/0/3")
                    .shouldBeInstanceOf<ReadResult.Found>().value.shouldNotBeNull()
                claimStore("desk", keyValue, settings).use { store ->
                    keys.map { store.submit(begin(it, "2-$it"), 2_000).get() }
                        .map { (it as ClaimResult.Decided).decision }
                        .forEach { it.shouldBeInstanceOf<ClaimDecision.Held>() }
                }
            }
        }

        describe("a caller that gives up before its claim is written") {
            it("leaves no claim behind (a call that is blocked for the whole retention)") {
                listOf(WriteFault.NONE, WriteFault.LOST_APPLIED).forEach { fault ->
                    val keyValue = FakeKeyValueService().apply { latencyMs = 50 }
                    val faults = ArrayDeque(listOf(fault))
                    keyValue.nextFault = { faults.removeFirstOrNull() ?: WriteFault.NONE }
                    claimStore("desk", keyValue, quick).use { store ->
                        store.submit(begin("k", "n1"), 20).get()
                            .shouldBeInstanceOf<ClaimResult.Unavailable>()
                        store.flush(2_000) shouldBe true
                        store.submit(begin("k", "n2"), 2_000).get() shouldBe owned
                    }
                }
            }
        }

        describe("operations of one bucket") {
            it("share writes (more writes than the key-value service sustains)") {
                val keyValue = FakeKeyValueService().apply { latencyMs = 20 }
                claimStore("desk", keyValue, quick).use { store ->
                    val results = (1..200).map { store.submit(begin("k$it", "n$it"), 5_000) }
                    results.map { it.get() }.toSet() shouldBe setOf(owned)
                    keyValue.writes.get() shouldBeLessThanOrEqualTo 10
                }
            }
        }

        describe("an outage of the key-value service") {
            it("refuses claims at once and keeps results until they can be recorded") {
                val keyValue = FakeKeyValueService()
                val result = RecordedResult(200, emptyMap(), "booked")
                claimStore("desk", keyValue, quick).use { store ->
                    store.submit(begin("k", "n"), 2_000).get() shouldBe owned
                    keyValue.isDown = true
                    store.submit(begin("l", "n2"), 2_000).get()
                        .shouldBeInstanceOf<ClaimResult.Unavailable>()
                    val recorded =
                        store.submitInBackground(ClaimOperation.Complete("k", "hash", "n", result))
                    recorded.isDone shouldBe false
                    keyValue.isDown = false
                    recorded.get() shouldBe ClaimResult.Decided(ClaimDecision.Done(result))
                }
            }
            it("does not take unreadable claims as none (double execution)") {
                val keyValue = FakeKeyValueService()
                keyValue.compareAndSwap("jacinthlink/claims/desk/0", 0, "garbage")
                claimStore("desk", keyValue, quick).use { store ->
                    store.submit(begin("k", "n"), 2_000).get()
                        .shouldBeInstanceOf<ClaimResult.Unavailable>()
                }
            }
        }

        describe("the cost of claims with 3 ms for each write") {
            it("is bounded by the write interval, whatever the load") {
                listOf(200 to 20L, 1_000 to 20L, 4_000 to 20L, 4_000 to 50L).forEach { (load, ms) ->
                    val measured = measureClaims(load, ClaimStoreSettings(writeIntervalMs = ms))
                    println("claims: $measured")
                    measured.refused shouldBe 0
                    val bound = 16 * (measured.seconds * 1_000 / ms + 1)
                    measured.writes.toDouble() shouldBeLessThanOrEqualTo bound
                }
            }
        }
    })
