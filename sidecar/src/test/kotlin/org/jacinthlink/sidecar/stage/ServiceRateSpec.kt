package org.jacinthlink.sidecar.stage

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

class ServiceRateSpec :
    DescribeSpec({
        describe("the time to the first token") {
            // Guards against urgent requests that are refused because a flood of others is slow.
            it("of one class does not follow that of another") {
                val rate = ServiceRate(1_000.0)
                repeat(20) { rate.onFirstToken("summary", 5_000, 0) }
                rate.onFirstToken("quotation", 40, 0)
                rate.firstTokenMs("summary", 0) shouldBeGreaterThan 4_000.0
                rate.firstTokenMs("quotation", 0) shouldBe 12.0
            }
            // Guards against a class that stays refused after one slow moment.
            it("falls while nothing of the class runs") {
                val rate = ServiceRate(1_000.0)
                repeat(20) { rate.onFirstToken("quotation", 2_000, 0) }
                rate.firstTokenMs("quotation", 2_000) shouldBeLessThan 750.0
            }
        }
    })
