package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class GrowingPauseSpec :
    DescribeSpec({
        describe("a path that turns every request away for five seconds") {
            // Guards against a retry budget that goes into sends which a server rejects.
            it("is tried a few times only") {
                val pause = growingPause(150, 2_400)
                var tries = 0
                for (nowMs in 0L until 5_000 step 10) {
                    if (!pause.isOver(nowMs)) continue
                    tries++
                    pause.begin(nowMs)
                }
                tries shouldBeLessThanOrEqual 6
            }

            it("is used at once again after it has served a request") {
                val pause = growingPause(150, 2_400)
                pause.begin(0)
                pause.begin(150)
                pause.reset()
                pause.begin(450)
                pause.isOver(599) shouldBe false
                pause.isOver(600) shouldBe true
            }

            it("begins anew after a time without rejections") {
                val pause = growingPause(150, 2_400)
                pause.begin(0)
                pause.begin(150)
                pause.begin(3_000)
                pause.isOver(3_150) shouldBe true
            }
        }
    })
