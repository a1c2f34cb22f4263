package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe

class ProbeTimeoutSpec :
    DescribeSpec({
        describe("the limit for a report") {
            it("is short on a machine that gets its answers soon") {
                val limit = probeTimeout()
                repeat(13) { limit.answered(5) }
                limit.timeoutMs shouldBe 55
            }

            // Guards against living engines that weak machines take as dead: seen in trouble-1 of
            // the grown ubcls-router, 2,700 times in 28 s.
            it("leaves time for the answers that a machine with a fifth of a core reads late") {
                val limit = probeTimeout()
                repeat(40) { limit.answered(20) }
                limit.answered(90)
                limit.timeoutMs shouldBeGreaterThanOrEqual 270
            }

            it("is long before any answer has come") {
                probeTimeout().timeoutMs shouldBe 200
            }
        }
    })
