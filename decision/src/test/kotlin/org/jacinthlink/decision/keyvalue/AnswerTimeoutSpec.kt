package org.jacinthlink.decision.keyvalue

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

class AnswerTimeoutSpec :
    DescribeSpec({
        val initial = AnswerTimeout(minMs = 1_000, maxMs = 5_000)

        describe("the timeout for a response") {
            // Guards against a slow service whose response time is never measured because every
            // call times out.
            it("doubles without responses, whatever the number of calls that wait at once") {
                initial.timeoutMs shouldBe 1_000
                val once = (1..16).fold(initial) { timeout, _ -> timeout.unanswered(1_000) }
                once.timeoutMs shouldBe 2_000
                once.unanswered(2_000).timeoutMs shouldBe 4_000
                once.unanswered(2_000).unanswered(4_000).timeoutMs shouldBe 5_000
            }
            // Guards against calls that time out because a few responses were quick.
            it("stays above a slow response for some quick ones, and falls again after more") {
                val slow = initial.answered(1_500)
                slow.timeoutMs shouldBe 3_000
                slow.answered(10).timeoutMs shouldBeGreaterThan 1_500
                (1..20).fold(slow) { timeout, _ -> timeout.answered(10) }.timeoutMs shouldBe 1_000
            }
        }
    })
