package org.jacinthlink.decision.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class DispatchOutcomeSpec :
    DescribeSpec({
        describe("the outcome of several attempts") {
            it("is 'not run' only if nothing can still run") {
                val notRun = AttemptOutcome.NOT_RUN
                val unknown = AttemptOutcome.UNKNOWN
                dispatchOutcome(emptyList(), false) shouldBe DispatchOutcome.NOT_RUN
                dispatchOutcome(listOf(notRun, notRun), false) shouldBe DispatchOutcome.NOT_RUN
                dispatchOutcome(listOf(notRun, unknown), false) shouldBe DispatchOutcome.UNKNOWN
                dispatchOutcome(listOf(unknown, notRun), true) shouldBe DispatchOutcome.NOT_RUN
            }
            it("is 'ran' whatever the other attempts did") {
                dispatchOutcome(listOf(AttemptOutcome.UNKNOWN, AttemptOutcome.RAN), true) shouldBe
                    DispatchOutcome.RAN
            }
        }
    })
