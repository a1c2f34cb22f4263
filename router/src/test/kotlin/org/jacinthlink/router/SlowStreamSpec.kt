package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import org.jacinthlink.router.standins.EngineStandIn.Script
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.await
import org.jacinthlink.router.standins.eventIds

class SlowStreamSpec :
    DescribeSpec({
        describe("a stream whose engine works, but slowly") {
            // Guards against slow streams that are cut although their engines work.
            it("is not cut, and is run once") {
                RouterFixture(eventCount = 5, eventIntervalMs = 350).use { fixture ->
                    fixture.awaitPaths()
                    val answer = fixture.call("/s/x", "slow")
                    eventIds(answer) shouldBe listOf(1, 2, 3, 4, 5)
                    answer shouldEndWith "0\r\n\r\n"
                    // A second run is allowed while the first event is late.
                    fixture.engines.sumOf { it.runs.size } shouldBeInRange 1..2
                }
            }
        }

        describe("a stream that only sends a byte now and then") {
            // Guards against callers that wait for a stalled stream because it is not silent.
            it("is served by another path") {
                RouterFixture().use { fixture ->
                    fixture.awaitPaths()
                    fixture.engines.first { it.layers?.from == 0 }.script = Script.Dripping
                    repeat(4) { fixture.call("/s/x", "drip-$it") shouldContain "id: 5" }
                }
            }

            it("ends at its deadline if all paths are like that, and its engines stop") {
                RouterFixture().use { fixture ->
                    fixture.awaitPaths()
                    fixture.engines.forEach { it.script = Script.Dripping }
                    val startedAtNanos = System.nanoTime()
                    fixture.call("/s/x", "dripping")
                    val tookMs = (System.nanoTime() - startedAtNanos) / 1_000_000
                    tookMs.toInt() shouldBeInRange 0..3_500
                    await {
                        fixture.engines.sumOf { it.cancelledCount.get() } ==
                            fixture.engines.sumOf { it.runs.size }
                    }
                }
            }
        }
    })
