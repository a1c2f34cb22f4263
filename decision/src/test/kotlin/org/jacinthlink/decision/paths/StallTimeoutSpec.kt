package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual

class StallTimeoutSpec :
    DescribeSpec({
        /** The limit after events each [pauseMs] for three seconds. */
        fun limitAfter(pauseMs: Long, flowing: Int): Long {
            val limit = stallTimeout()
            var eventMs = 0L
            for (nowMs in 0L..3_000 step 20) {
                if (nowMs - eventMs >= pauseMs) eventMs = nowMs
                limit.timeoutMs(eventMs, flowing, nowMs)
            }
            return limit.timeoutMs(eventMs, flowing, 3_001)
        }

        describe("the silence of a path") {
            // Guards against streams that stay on a dead path until their pause of 200 ms is over:
            // 70 ms until a dead server is known and 50 ms to go on elsewhere are left.
            it("is noticed within 80 ms when events come every 40 ms") {
                limitAfter(40, flowing = 10) shouldBeLessThanOrEqual 80
            }

            // Guards against questions to all servers of a path that is only slow.
            it("is borne longer on a path that pauses for 140 ms now and then") {
                limitAfter(140, flowing = 10) shouldBeGreaterThan 180
            }

            it("of a single stream says little") {
                limitAfter(40, flowing = 1) shouldBeGreaterThan 100
            }
        }
    })
