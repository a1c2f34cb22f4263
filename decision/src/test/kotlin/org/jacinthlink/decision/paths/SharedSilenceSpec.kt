package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class SharedSilenceSpec :
    DescribeSpec({
        describe("the servers of a silent path that are asked together") {
            // Guards against whole zones that weak machines take as dead: seen in trouble-1 of the
            // grown ubcls-router, all 20 servers of a zone by 23 routers within 4 s.
            it("are not taken as dead when most of them do not answer") {
                isOwnDelay(asked = 20, unanswered = 20) shouldBe true
                isOwnDelay(asked = 20, unanswered = 12) shouldBe true
            }

            it("are taken as dead one by one") {
                isOwnDelay(asked = 20, unanswered = 1) shouldBe false
                isOwnDelay(asked = 20, unanswered = 4) shouldBe false
            }
        }

        describe("a server that is asked alone") {
            it("is judged by its own answer") {
                isOwnDelay(asked = 1, unanswered = 1) shouldBe false
            }
        }
    })
