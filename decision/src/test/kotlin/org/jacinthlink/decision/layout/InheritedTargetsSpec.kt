package org.jacinthlink.decision.layout

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.jacinthlink.decision.fleet.LayerRange

class InheritedTargetsSpec :
    DescribeSpec({
        val first = Placement("s1", LayerRange(0, 40))
        val known = mapOf("s1" to first)

        describe("gossip from a leader that has planned a layout") {
            it("replaces all known targets") {
                val next = Placement("s2", LayerRange(0, 40))
                inheritedTargets(known, listOf(next)) shouldBe mapOf("s2" to next)
            }
        }

        describe("gossip from a leader that has not planned a layout yet") {
            // Guards against a layout that is planned again when two leaders end in a row.
            it("leaves the targets of the previous leader in force") {
                inheritedTargets(known, emptyList()) shouldBe known
            }
        }
    })
