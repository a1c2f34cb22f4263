package org.jacinthlink.decision.layout

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.jacinthlink.decision.fleet.LayerRange

class InheritedTargetsSpec :
    DescribeSpec({
        val first = Placement("s1", LayerRange(0, 40))
        val known = mapOf("s1" to first)

        describe("news of a holder that has planned") {
            it("replace all that is known") {
                val next = Placement("s2", LayerRange(0, 40))
                inheritedTargets(known, listOf(next)) shouldBe mapOf("s2" to next)
            }
        }

        describe("news of a holder that has not planned yet") {
            // Guards against a layout that is planned anew when two holders end in a row.
            it("leave the targets of its predecessor in force") {
                inheritedTargets(known, emptyList()) shouldBe known
            }
        }
    })
