package org.jacinthlink.sidecar.stage

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.jacinthlink.api.WorkClass

private const val PLANNED = 1_000.0

// 1,000 tokens/s, 35 ms and the reserve of a half.
private const val CLASS_STREAMS = 53

private class Flood(val bound: RunningBound) {
    private var nowMs = 1_000L

    /** Five seconds with waiting requests; returns the tokens served each second. */
    fun window(stageTokensPerSecond: Double, routeMs: Double): Double {
        val running = bound.streams(PLANNED)
        val gapMs = maxOf(routeMs, running * 1_000 / stageTokensPerSecond)
        val tokensPerSecond = running * 1_000 / gapMs
        repeat((5 * tokensPerSecond).toInt()) { bound.onToken() }
        nowMs += 5_000
        bound.update(1, PLANNED, nowMs)
        return tokensPerSecond
    }
}

class RunningBoundSpec :
    DescribeSpec({
        fun flood() = Flood(RunningBound(null, emptyMap()).also { it.update(1, PLANNED, 1_000) })

        describe("a flood that meets a cold fleet") {
            // Guards against a bound that keeps the long times of the first seconds: 108 streams in
            // place of 47 doubled the time to the first token of urgent requests.
            it("runs no more streams than the classes ask for once the stages are warm") {
                val flood = flood()
                flood.window(stageTokensPerSecond = 300.0, routeMs = 10.0)
                flood.window(stageTokensPerSecond = 700.0, routeMs = 10.0)
                repeat(3) { flood.window(stageTokensPerSecond = 900.0, routeMs = 10.0) }
                flood.bound.streams(PLANNED) shouldBe CLASS_STREAMS
            }
        }

        describe("stages that stay below their planned speed") {
            // Guards against a raise that only makes each stream slower.
            it("raise the bound for one window in seven at most") {
                val flood = flood()
                val raised =
                    List(70) {
                        flood.window(stageTokensPerSecond = 600.0, routeMs = 10.0)
                        flood.bound.streams(PLANNED) > CLASS_STREAMS
                    }
                raised.count { it } shouldBeLessThanOrEqual 10
            }
        }

        describe("a route over slow links") {
            // Guards against stages that idle while requests wait.
            it("gets enough streams for 0.8 of the planned throughput") {
                val flood = flood()
                repeat(10) { flood.window(stageTokensPerSecond = 1_000.0, routeMs = 140.0) }
                List(10) { flood.window(stageTokensPerSecond = 1_000.0, routeMs = 140.0) }
                    .average() shouldBeGreaterThanOrEqual 0.8 * PLANNED
            }
        }

        describe("a change of the classes") {
            // Guards against a bound that knows the classes of the start only.
            it("applies their time between tokens") {
                val bound = RunningBound(null, emptyMap())
                val note = WorkClass("note", targetMs = 500, tokenGapMs = 70, worth = 1)
                bound.update(mapOf(note.name to note))
                bound.streams(PLANNED) shouldBe 105
            }
        }
    })
