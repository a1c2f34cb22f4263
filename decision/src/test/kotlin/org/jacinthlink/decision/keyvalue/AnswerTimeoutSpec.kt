package org.jacinthlink.decision.keyvalue

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

class AnswerTimeoutSpec :
    DescribeSpec({
        val initial = AnswerTimeout(minMs = 1_000, maxMs = 5_000)

        describe("the time-out for an answer") {
            // Guards against a slow service that is never awaited long enough to be measured.
            it("doubles without answers, whatever the number of calls that wait at once") {
                initial.timeoutMs shouldBe 1_000
                val once = (1..16).fold(initial) { timeout, _ -> timeout.unanswered(1_000) }
                once.timeoutMs shouldBe 2_000
                once.unanswered(2_000).timeoutMs shouldBe 4_000
                once.unanswered(2_000).unanswered(4_000).timeoutMs shouldBe 5_000
            }
            // Guards against calls that are given up because a few answers were quick.
            it("stays above a slow answer for some quick ones, and falls again after more") {
                val slow = initial.answered(1_500)
                slow.timeoutMs shouldBe 3_000
                slow.answered(10).timeoutMs shouldBeGreaterThan 1_500
                (1..20).fold(slow) { timeout, _ -> timeout.answered(10) }.timeoutMs shouldBe 1_000
            }
        }
    })
