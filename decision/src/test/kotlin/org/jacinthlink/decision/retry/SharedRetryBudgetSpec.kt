package org.jacinthlink.decision.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class SharedRetryBudgetSpec :
    DescribeSpec({
        describe("the shared retry budget") {
            // Guards against retries that outnumber requests when all streams fail at once.
            it("is not exceeded by all instances together when all streams fail at once") {
                val budgets = List(8) { sharedRetryBudget(10_000, 0.2, 392.0) }
                budgets.forEach { budget -> repeat(60) { budget.onFirstAttempt(it * 100L) } }
                var retries = 0
                repeat(20) { round ->
                    val nowMs = 6_000L + round * 250
                    val counts = budgets.map { it.counts(nowMs) }
                    budgets.forEachIndexed { i, budget ->
                        val others = counts.filterIndexed { j, _ -> j != i }
                        val sum =
                            AttemptCounts(others.sumOf { it.first }, others.sumOf { it.repeats })
                        budget.updatePeerCounts(sum, 7, nowMs)
                    }
                    retries +=
                        budgets.sumOf { budget -> (1..500).count { budget.tryRetry(nowMs) } }
                }
                retries shouldBeLessThanOrEqual (0.2 * 8 * 60 + 392).toInt()
            }

            it("is available again after the window") {
                val budget = sharedRetryBudget(10_000, 0.0, 10.0)
                repeat(7) { budget.tryRetry(0) shouldBe true }
                budget.tryRetry(9_999) shouldBe false
                budget.tryRetry(10_000) shouldBe true
            }

            // Guards against optional moves that leave no retries for streams whose server fails.
            it("reserves half of it for necessary retries") {
                val budget = sharedRetryBudget(10_000, 0.0, 20.0)
                val moved = generateSequence { budget.allowsOptionalRetry(0) && budget.tryRetry(0) }
                    .takeWhile { it }.count()
                moved shouldBe 7
                budget.tryRetry(0) shouldBe true
            }
        }
    })
