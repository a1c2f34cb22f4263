package org.jacinthlink.decision.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class RetryLedgerSpec :
    DescribeSpec({
        describe("the shared retry budget") {
            // Guards against retries that outnumber requests when all streams fail at once.
            it("is not exceeded by all instances together when all streams fail at once") {
                val ledgers = List(8) { retryLedger(10_000, 0.2, 392.0) }
                ledgers.forEach { ledger -> repeat(60) { ledger.onFirstSend(it * 100L) } }
                var repeats = 0
                repeat(20) { round ->
                    val nowMs = 6_000L + round * 250
                    val counts = ledgers.map { it.counts(nowMs) }
                    ledgers.forEachIndexed { i, ledger ->
                        val others = counts.filterIndexed { j, _ -> j != i }
                        val sum =
                            SendCounts(others.sumOf { it.first }, others.sumOf { it.repeats })
                        ledger.onNews(sum, 7, nowMs)
                    }
                    repeats +=
                        ledgers.sumOf { ledger -> (1..500).count { ledger.tryRepeat(nowMs) } }
                }
                repeats shouldBeLessThanOrEqual (0.2 * 8 * 60 + 392).toInt()
            }

            it("is available again after the window") {
                val ledger = retryLedger(10_000, 0.0, 10.0)
                repeat(7) { ledger.tryRepeat(0) shouldBe true }
                ledger.tryRepeat(9_999) shouldBe false
                ledger.tryRepeat(10_000) shouldBe true
            }

            // Guards against moves by choice that leave no retries for streams whose server dies.
            it("reserves half of it for necessary retries") {
                val ledger = retryLedger(10_000, 0.0, 20.0)
                val moved = generateSequence { ledger.hasSpare(0) && ledger.tryRepeat(0) }
                    .takeWhile { it }.count()
                moved shouldBe 7
                ledger.tryRepeat(0) shouldBe true
            }
        }
    })
