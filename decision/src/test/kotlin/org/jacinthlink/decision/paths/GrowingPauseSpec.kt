package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class GrowingPauseSpec :
    DescribeSpec({
        describe("a path that rejects every request for five seconds") {
            // Guards against a retry budget that is used up by attempts which a server rejects.
            it("is tried only a few times") {
                val backoff = growingPause(150, 2_400)
                var tries = 0
                for (nowMs in 0L until 5_000 step 10) {
                    if (!backoff.isOver(nowMs)) continue
                    tries++
                    backoff.begin(nowMs)
                }
                tries shouldBeLessThanOrEqual 6
            }

            it("starts again with the initial delay after it has served a request") {
                val backoff = growingPause(150, 2_400)
                backoff.begin(0)
                backoff.begin(150)
                backoff.reset()
                backoff.begin(450)
                backoff.isOver(599) shouldBe false
                backoff.isOver(600) shouldBe true
            }

            it("starts again with the initial delay after a time without rejections") {
                val backoff = growingPause(150, 2_400)
                backoff.begin(0)
                backoff.begin(150)
                backoff.begin(3_000)
                backoff.isOver(3_150) shouldBe true
            }
        }
    })
