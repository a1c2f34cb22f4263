package org.jacinthlink.runtime.configuration

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll

class PollPlanSpec :
    DescribeSpec({
        describe("the poll interval") {
            it("keeps a fleet of any size under 40 reads/s, at the shortest varied pause") {
                checkAll(200, Arb.int(1..5_000)) { processes ->
                    val shortestMs = PollPlan.intervalMs(processes, 0) * 0.8
                    processes * 1_000 / shortestMs shouldBeLessThanOrEqual 40.01
                }
            }
            it("grows while the service is down, up to a minute") {
                PollPlan.intervalMs(3, 0) shouldBe 2_000
                PollPlan.intervalMs(3, 2) shouldBe 8_000
                PollPlan.intervalMs(3, 50) shouldBe 60_000
                PollPlan.intervalMs(960, 50) shouldBeLessThanOrEqual 60_000
            }
        }
    })
