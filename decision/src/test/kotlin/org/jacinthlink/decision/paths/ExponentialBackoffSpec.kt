package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class ExponentialBackoffSpec :
    DescribeSpec({
        describe("a path that turns every request away for five seconds") {
            // Guards against a retry budget that goes into sends which a server rejects.
            it("is tried a few times only") {
                val pause = exponentialBackoff(150, 2_400)
                var tries = 0
                for (nowMs in 0L until 5_000 step 10) {
                    if (!pause.allowsAttempt(nowMs)) continue
                    tries++
                    pause.recordFailure(nowMs)
                }
                tries shouldBeLessThanOrEqual 6
            }

            it("is used at once again after it has served a request") {
                val pause = exponentialBackoff(150, 2_400)
                pause.recordFailure(0)
                pause.recordFailure(150)
                pause.reset()
                pause.recordFailure(450)
                pause.allowsAttempt(599) shouldBe false
                pause.allowsAttempt(600) shouldBe true
            }

            it("begins anew after a time without rejections") {
                val pause = exponentialBackoff(150, 2_400)
                pause.recordFailure(0)
                pause.recordFailure(150)
                pause.recordFailure(3_000)
                pause.allowsAttempt(3_150) shouldBe true
            }
        }
    })
