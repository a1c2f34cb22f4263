package org.jacinthlink.decision.stage

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe

private fun StepTimeEstimator.recordAll(sizes: Iterable<Int>, fixedMs: Double, positionMs: Double) =
    apply { sizes.forEach { record(it, fixedMs + positionMs * it) } }

class StepTimeEstimatorSpec :
    DescribeSpec({
        describe("the estimated time of steps") {
            // Guards against steps that last longer than the token gaps of the classes allow.
            it("gives the number of positions that run within a time") {
                val estimator = stepTimeEstimator(
                    100.0
                ).recordAll(1..40, fixedMs = 2.0, positionMs = 0.5)
                estimator.positionsWithin(20.25) shouldBe 36
            }
            // Guards against throughput lost to the fixed time of steps.
            it("gives enough positions to take at least four fifths of a step") {
                val estimator = stepTimeEstimator(
                    100.0
                ).recordAll(1..40, fixedMs = 2.0, positionMs = 0.5)
                estimator.positionsWithin(1.0) shouldBeInRange 16..17
            }
            // Guards against an estimate that is lost while a bound makes all steps equal in size.
            it("is kept while all steps have one size, and follows the speed of the engine") {
                val estimator = stepTimeEstimator(
                    100.0
                ).recordAll(1..40, fixedMs = 2.0, positionMs = 0.5)
                estimator.recordAll(List(5_000) { 30 }, fixedMs = 2.0, positionMs = 0.5)
                estimator.positionsWithin(20.0) shouldBeInRange 35..37
                estimator.recordAll(List(1_000) { 1 + it % 20 }, fixedMs = 2.0, positionMs = 1.0)
                estimator.positionsWithin(20.0) shouldBeInRange 17..19
            }
            // Guards against steps of half a second on a slow engine that has just started.
            it("uses the nominal speed at first") {
                stepTimeEstimator(100.0).recordAll(1..3, 1.0, 1.0).positionsWithin(35.0) shouldBe 3
            }
        }
    })
