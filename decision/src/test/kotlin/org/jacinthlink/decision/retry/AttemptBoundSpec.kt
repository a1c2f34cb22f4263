package org.jacinthlink.decision.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class AttemptBoundSpec :
    DescribeSpec({
        describe("a request that two servers may run") {
            // Guards against a third run when a router that is cut off takes both as failed: seen
            // in scale-2 of shilpa-nilam, four requests.
            it("goes to no third while both are registered") {
                val bound = attemptBound(2)
                bound.recordAttempt("a", brokenOff = true)
                bound.allows("b") { true } shouldBe true
                bound.recordAttempt("b", brokenOff = true)
                bound.allows("c") { true } shouldBe false
                bound.allows("a") { true } shouldBe true
            }

            it("goes to another in the place of one that is gone") {
                val bound = attemptBound(2)
                bound.recordAttempt("a", brokenOff = true)
                bound.recordAttempt("b", brokenOff = true)
                bound.allows("c") { it != "a" } shouldBe true
            }

            // Guards against a third run while the first server goes on without its entry in the
            // store: seen in a drawn day of shilpa-nilam, 13 requests.
            it("goes to no third when it left a server that is gone by choice") {
                val bound = attemptBound(2)
                bound.recordAttempt("a", brokenOff = false)
                bound.recordAttempt("b", brokenOff = true)
                bound.allows("c") { it != "a" } shouldBe false
            }

            // Guards against moves by choice that leave nowhere to go when a server dies.
            it("moves by choice once only") {
                val bound = attemptBound(2)
                bound.allowsMoveFrom("a") shouldBe true
                bound.recordAttempt("a", brokenOff = true)
                bound.allowsMoveFrom("b") shouldBe false
            }
        }
    })
