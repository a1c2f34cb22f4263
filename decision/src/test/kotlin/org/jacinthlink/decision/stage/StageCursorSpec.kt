package org.jacinthlink.decision.stage

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class StageCursorSpec :
    DescribeSpec({
        describe("items of a stream") {
            it("have each position accepted once, in order, under loss, repetition and overlap") {
                println("stage cursor: seeds 1 to 2000")
                for (seed in 1..2_000) {
                    val random = Random(seed)
                    var cursor = StageCursor()
                    val accepted = mutableListOf<Int>()
                    repeat(60) {
                        val first = (cursor.nextPosition + random.nextInt(-6, 4)).coerceAtLeast(0)
                        val count = random.nextInt(0, 7)
                        val epoch = cursor.epoch + random.nextInt(-1, 2)
                        val before = cursor
                        val decision = decideItem(cursor, epoch, first, count)
                        cursor = decision.cursor
                        if (decision is CursorDecision.Accept) {
                            accepted += (first + decision.skipCount) until (first + count)
                        } else {
                            cursor.nextPosition shouldBe before.nextPosition
                        }
                        withClue("seed=$seed") {
                            (decision is CursorDecision.StaleEpoch) shouldBe (epoch < before.epoch)
                            accepted shouldBe (0 until cursor.nextPosition).toList()
                        }
                    }
                }
            }
            it("report the expected position of a gap, and a replaced sender is refused after it") {
                val gap = decideItem(StageCursor(1, 5), epoch = 2, firstPosition = 7, count = 1)
                gap shouldBe CursorDecision.Gap(StageCursor(2, 5))
                decideItem(gap.cursor, epoch = 1, firstPosition = 5, count = 1) shouldBe
                    CursorDecision.StaleEpoch(StageCursor(2, 5))
            }
            it("are never accepted at negative or overflowing positions") {
                val cursor = StageCursor(0, 3)
                decideItem(cursor, 0, -1, 10) shouldBe CursorDecision.Gap(cursor)
                decideItem(cursor, 0, 3, Int.MAX_VALUE) shouldBe CursorDecision.Gap(cursor)
            }
        }
    })
