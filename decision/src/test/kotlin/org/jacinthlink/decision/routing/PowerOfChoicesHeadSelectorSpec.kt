package org.jacinthlink.decision.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.random.Random
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.LoadReport

class PowerOfChoicesHeadSelectorSpec :
    DescribeSpec({
        val selector = powerOfChoicesHeadSelector("a")

        fun head(id: String, zone: String = "a", waitMs: Double = 0.0, speed: Double = 100.0) =
            HeadCandidate(InstanceId(id), zone, speed, LoadReport(expectedWaitMs = waitMs))

        describe("the choice of a head") {
            // Guards against a retry that goes back to the instance that just failed.
            it("never selects an excluded head") {
                val heads = listOf(head("x"), head("y", waitMs = 9e9))
                repeat(50) {
                    selector.choose(heads, setOf(InstanceId("x")), 0, Random(it))!!
                        .instance.value shouldBe "y"
                }
                selector.choose(heads, heads.map { it.instance }.toSet(), 0, Random(1)) shouldBe
                    null
            }
            // Guards against needless traffic between zones, and against a preference for the
            // entry's own zone while it is overloaded.
            it("prefers the zone of the entry only while loads are similar") {
                val near = listOf(head("near", "a", 102.0), head("far", "b", 100.0))
                selector.choose(near, emptySet(), 0, Random(1))!!.instance.value shouldBe "near"
                val full = listOf(head("near", "a", 900.0), head("far", "b", 100.0))
                selector.choose(full, emptySet(), 0, Random(1))!!.instance.value shouldBe "far"
            }
            // Guards against sending all requests to a head after one old report of an empty queue.
            it("spreads requests by speed between two reports") {
                val sent = hashMapOf("slow" to 0, "fast" to 0)
                repeat(400) {
                    val heads =
                        listOf(head("slow", speed = 100.0), head("fast", speed = 300.0))
                            .map { it.copy(sentSinceReport = sent.getValue(it.instance.value)) }
                    val chosen = selector.choose(heads, emptySet(), 0, Random(it))!!
                    sent.merge(chosen.instance.value, 1, Int::plus)
                }
                sent.getValue("fast") shouldBeInRange 280..320
            }
            // Guards against the use of outdated reports.
            it("uses the entry's own requests in flight once a report is too old") {
                val old = head("old").copy(inFlight = 50)
                selector.waitMs(old, 1_999) shouldBe 0.0
                selector.waitMs(old, 2_001) shouldBe 16_000.0
            }
        }

        describe("the subset of heads") {
            val zones =
                (0 until 12).associate { InstanceId("h$it") to listOf("a", "b", "c")[it % 3] }

            // Guards against an entry that loses all its heads when one zone fails.
            it("spreads over all zones, starting with the zone of the entry") {
                checkAll(100, Arb.int()) { owner ->
                    val subset = HeadSubset.choose(InstanceId("e$owner"), "b", zones, 3)
                    subset.map { zones.getValue(it) }.toSet() shouldHaveSize 3
                    zones.getValue(subset.first()) shouldBe "b"
                }
            }
            // Guards against all entries reconnecting when one head is added or removed.
            it("keeps the other heads when one is removed") {
                checkAll(100, Arb.int()) { owner ->
                    val entry = InstanceId("e$owner")
                    val before = HeadSubset.choose(entry, "a", zones, 6)
                    val removed = before.last()
                    HeadSubset.choose(entry, "a", zones - removed, 6) shouldContainAll
                        before - removed
                }
            }
            // Guards against heads that only a few entries use.
            it("covers the heads evenly, and all of them in a small system") {
                HeadSubset.size(headCount = 10, entryCount = 3) shouldBe 10
                HeadSubset.size(headCount = 6, entryCount = 360) shouldBe 3
                val entryCounts = HashMap<InstanceId, Int>()
                repeat(360) { owner ->
                    HeadSubset.choose(InstanceId("entry-$owner"), "a", zones, 3)
                        .forEach { entryCounts.merge(it, 1, Int::plus) }
                }
                entryCounts.values.min() shouldBeGreaterThan 60
            }
        }

        describe("the rendezvous hash") {
            // Guards against a rank that depends on the order of the instance list.
            it("gives the same ranking for any order of instances") {
                val ids = (0 until 20).map { InstanceId("i$it") }
                RendezvousHash.rank("k", ids.shuffled(Random(3))) shouldContainExactly
                    RendezvousHash.rank("k", ids)
            }
        }
    })
