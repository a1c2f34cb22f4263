package org.jacinthlink.router.layout

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly

class LeaderElectionSpec :
    DescribeSpec({
        val names = listOf("r1", "r2", "r3")

        /** Names of those that try within [forMs], a try of the first of them being lost. */
        fun tries(forMs: Long, holderIsKnown: Boolean): List<String> {
            val elections = names.associateWith { LeaderElection(it) }
            return (0L until forMs step 100).flatMap { nowMs ->
                elections.filter { (name, election) ->
                    election.shouldTry(nowMs, holderIsKnown, names - name)
                }.keys
            }
        }

        describe("a duty whose holder has ended") {
            // Guards against calls of all routers to the store at the same moment.
            it("is tried for by one router after the other") {
                tries(800, holderIsKnown = false) shouldContainExactly listOf("r1", "r2", "r3")
            }
        }

        describe("a duty whose holder is heard") {
            it("is left alone") {
                tries(5_000, holderIsKnown = true).shouldBeEmpty()
            }
        }
    })
