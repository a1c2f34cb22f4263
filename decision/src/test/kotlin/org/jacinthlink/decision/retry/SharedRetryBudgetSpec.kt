package org.jacinthlink.decision.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class SharedRetryBudgetSpec :
    DescribeSpec({
        describe("the shared budget of repeats") {
            // Guards against retries that outnumber requests when all streams fail at once.
            it("is kept by all instances together in a common failure") {
                val ledgers = List(8) { sharedRetryBudget(10_000, 0.2, 392.0) }
                ledgers.forEach { ledger -> repeat(60) { ledger.onFirstAttempt(it * 100L) } }
                var repeats = 0
                repeat(20) { round ->
                    val nowMs = 6_000L + round * 250
                    val counts = ledgers.map { it.counts(nowMs) }
                    ledgers.forEachIndexed { i, ledger ->
                        val others = counts.filterIndexed { j, _ -> j != i }
                        val sum =
                            AttemptCounts(others.sumOf { it.first }, others.sumOf { it.repeats })
                        ledger.updatePeerCounts(sum, 7, nowMs)
                    }
                    repeats +=
                        ledgers.sumOf { ledger -> (1..500).count { ledger.tryRetry(nowMs) } }
                }
                repeats shouldBeLessThanOrEqual (0.2 * 8 * 60 + 392).toInt()
            }

            it("is free again after the window") {
                val ledger = sharedRetryBudget(10_000, 0.0, 10.0)
                repeat(7) { ledger.tryRetry(0) shouldBe true }
                ledger.tryRetry(9_999) shouldBe false
                ledger.tryRetry(10_000) shouldBe true
            }

            // Guards against moves by choice that leave no repeats for streams whose server dies.
            it("leaves half of it to repeats that are needed") {
                val ledger = sharedRetryBudget(10_000, 0.0, 20.0)
                val moved = generateSequence { ledger.allowsOptionalRetry(0) && ledger.tryRetry(0) }
                    .takeWhile { it }.count()
                moved shouldBe 7
                ledger.tryRetry(0) shouldBe true
            }
        }
    })
