package org.jacinthlink.decision.admission

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class ShutdownScheduleSpec :
    DescribeSpec({
        describe("the schedule of a shutdown") {
            it("rejects requests when the instance is out of use, if there is enough time") {
                shutdownSchedule(8_000) shouldBe ShutdownSchedule(2_600, 7_700)
            }

            // Guards against requests that are accepted shortly before the end of the process.
            it("leaves half of any grace time for the last requests") {
                (0L..20_000L step 100).map(::shutdownSchedule).forEach {
                    it.rejectAfterMs * 2 shouldBeLessThanOrEqual it.endAfterMs
                }
            }
        }
    })
