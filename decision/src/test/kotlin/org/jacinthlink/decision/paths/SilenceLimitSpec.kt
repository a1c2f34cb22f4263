package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual

class SilenceLimitSpec :
    DescribeSpec({
        /** The limit after events each [pauseMs] for three seconds. */
        fun limitAfter(pauseMs: Long, flowing: Int, isReported: Boolean = false): Long {
            val limit = silenceLimit()
            var eventMs = 0L
            for (nowMs in 0L..3_000 step 20) {
                if (nowMs - eventMs >= pauseMs) eventMs = nowMs
                limit.limitMs(eventMs, flowing, isReported, nowMs)
            }
            return limit.limitMs(eventMs, flowing, isReported, 3_001)
        }

        describe("the silence of a path") {
            // Guards against streams that stay on a dead path until their pause is over the target.
            it("is noticed within 110 ms when events come every 40 ms") {
                limitAfter(40, flowing = 10) shouldBeLessThanOrEqual 110
            }

            // Guards against streams that leave a path in a burst and overload the others.
            it("is borne longer on a path that pauses for 140 ms now and then") {
                limitAfter(140, flowing = 10) shouldBeGreaterThan 200
            }

            it("of a single stream says little") {
                limitAfter(40, flowing = 1) shouldBeGreaterThan 300
            }

            it("that a peer has seen is believed sooner") {
                limitAfter(40, flowing = 1, isReported = true) shouldBeLessThanOrEqual 80
            }
        }
    })
