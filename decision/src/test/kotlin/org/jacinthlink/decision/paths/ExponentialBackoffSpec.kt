package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class ExponentialBackoffSpec :
    DescribeSpec({
        describe("a path that rejects every request for five seconds") {
            // Guards against a retry budget that is used up by attempts which a server rejects.
            it("is tried only a few times") {
                val backoff = exponentialBackoff(150, 2_400)
                var tries = 0
                for (nowMs in 0L until 5_000 step 10) {
                    if (!backoff.allowsAttempt(nowMs)) continue
                    tries++
                    backoff.recordFailure(nowMs)
                }
                tries shouldBeLessThanOrEqual 6
            }

            it("starts again with the initial delay after it has served a request") {
                val backoff = exponentialBackoff(150, 2_400)
                backoff.recordFailure(0)
                backoff.recordFailure(150)
                backoff.reset()
                backoff.recordFailure(450)
                backoff.allowsAttempt(599) shouldBe false
                backoff.allowsAttempt(600) shouldBe true
            }

            it("starts again with the initial delay after a time without rejections") {
                val backoff = exponentialBackoff(150, 2_400)
                backoff.recordFailure(0)
                backoff.recordFailure(150)
                backoff.recordFailure(3_000)
                backoff.allowsAttempt(3_150) shouldBe true
            }
        }
    })
