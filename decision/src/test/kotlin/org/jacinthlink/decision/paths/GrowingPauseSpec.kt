package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class GrowingPauseSpec :
    DescribeSpec({
        describe("a path that rejects every request for five seconds") {
            // Guards against a retry budget that is used up by attempts which a server rejects.
            it("is tried only a few times") {
                val pause = growingPause(150, 2_400)
                var tries = 0
                for (nowMs in 0L until 5_000 step 10) {
                    if (!pause.isOver(nowMs)) continue
                    tries++
                    pause.begin(nowMs)
                }
                tries shouldBeLessThanOrEqual 6
            }

            it("starts again with the initial delay after it has served a request") {
                val pause = growingPause(150, 2_400)
                pause.begin(0)
                pause.begin(150)
                pause.reset()
                pause.begin(450)
                pause.isOver(599) shouldBe false
                pause.isOver(600) shouldBe true
            }

            it("starts again with the initial delay after a time without rejections") {
                val pause = growingPause(150, 2_400)
                pause.begin(0)
                pause.begin(150)
                pause.begin(3_000)
                pause.isOver(3_150) shouldBe true
            }
        }
    })
