package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe

class ProbeTimeoutSpec :
    DescribeSpec({
        describe("the timeout for a report") {
            it("is short on a machine that receives its responses soon") {
                val timeout = probeTimeout()
                repeat(13) { timeout.answered(5) }
                timeout.timeoutMs shouldBe 55
            }

            // Guards against live engines that slow machines treat as dead: this happened 2,700
            // times in 28 s.
            it("leaves time for responses that a machine with a fifth of a core reads late") {
                val timeout = probeTimeout()
                repeat(40) { timeout.answered(20) }
                timeout.answered(90)
                timeout.timeoutMs shouldBeGreaterThanOrEqual 270
            }

            it("is long before any response has arrived") {
                probeTimeout().timeoutMs shouldBe 200
            }
        }
    })
