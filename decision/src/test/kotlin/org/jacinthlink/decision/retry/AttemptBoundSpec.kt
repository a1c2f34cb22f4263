package org.jacinthlink.decision.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class AttemptBoundSpec :
    DescribeSpec({
        describe("a request that two servers may run") {
            // Guards against a third run when a router that is isolated by a network partition
            // treats both servers as failed. This happened to four requests.
            it("is not sent to a third server while both may run") {
                val bound = attemptBound(2)
                bound.recordAttempt("a", interrupted = true)
                bound.allows("b") { false } shouldBe true
                bound.recordAttempt("b", interrupted = true)
                bound.allows("c") { false } shouldBe false
                bound.allows("a") { false } shouldBe true
            }

            it("may be sent to another server in place of one that has ended") {
                val bound = attemptBound(2)
                bound.recordAttempt("a", interrupted = true)
                bound.recordAttempt("b", interrupted = true)
                bound.allows("c") { it == "a" } shouldBe true
            }

            // Guards against a third run while the first server, whose entry in the store was
            // removed, continues with the request. This happened to 13 requests.
            it("is not sent to a third server after an optional move from one that has ended") {
                val bound = attemptBound(2)
                bound.recordAttempt("a", interrupted = false)
                bound.recordAttempt("b", interrupted = true)
                bound.allows("c") { it == "a" } shouldBe false
            }

            it("shows without a move whether another server may run the request after it") {
                val bound = attemptBound(2)
                bound.recordAttempt("a", interrupted = true)
                bound.ifInterruptedAt(listOf("b")).allows("c") { false } shouldBe false
                bound.ifInterruptedAt(listOf("b")).allows("a") { false } shouldBe true
                bound.allows("c") { false } shouldBe true
            }

            // Guards against a third run beside two open attempts.
            it("counts all its open attempts") {
                val bound = attemptBound(2)
                bound.ifInterruptedAt(listOf("a", "b")).allows("c") { false } shouldBe false
                bound.allowsMoveFrom(listOf("a", "b")) shouldBe false
            }

            // Guards against optional moves that leave no other server when a server fails.
            it("makes only one optional move") {
                val bound = attemptBound(2)
                bound.allowsMoveFrom(listOf("a")) shouldBe true
                bound.recordAttempt("a", interrupted = true)
                bound.allowsMoveFrom(listOf("b")) shouldBe false
            }
        }
    })
