package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual

class StallTimeoutSpec :
    DescribeSpec({
        /** The timeout after three seconds with an event every [pauseMs]. */
        fun timeoutAfter(pauseMs: Long, streamsWithEvents: Int): Long {
            val timeout = stallTimeout()
            var eventMs = 0L
            for (nowMs in 0L..3_000 step 20) {
                if (nowMs - eventMs >= pauseMs) eventMs = nowMs
                timeout.timeoutMs(eventMs, streamsWithEvents, nowMs)
            }
            return timeout.timeoutMs(eventMs, streamsWithEvents, 3_001)
        }

        describe("a path without events") {
            // Guards against streams that stay on a dead path until their allowed pause of 200 ms
            // is over. After the path counts as stalled, 70 ms are needed until the dead server is
            // known, and 50 ms to continue on another path.
            it("counts as stalled within 80 ms when events came every 40 ms") {
                timeoutAfter(40, streamsWithEvents = 10) shouldBeLessThanOrEqual 80
            }

            // Guards against probes of all servers of a path that is only slow.
            it("has a longer timeout when events came every 140 ms") {
                timeoutAfter(140, streamsWithEvents = 10) shouldBeGreaterThan 180
            }

            it("has a longer timeout when it has only a single stream") {
                timeoutAfter(40, streamsWithEvents = 1) shouldBeGreaterThan 100
            }
        }
    })
