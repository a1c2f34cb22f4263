package org.jacinthlink.router.layout

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly

class LeaderElectionSpec :
    DescribeSpec({
        val names = listOf("r1", "r2", "r3")

        /** Names of the routers that try within [forMs], while no attempt succeeds. */
        fun tries(forMs: Long, leaderIsKnown: Boolean): List<String> {
            val elections = names.associateWith { LeaderElection(it) }
            return (0L until forMs step 100).flatMap { nowMs ->
                elections.filter { (name, election) ->
                    election.shouldTry(nowMs, leaderIsKnown, names - name)
                }.keys
            }
        }

        describe("a leadership without a leader") {
            // Guards against calls of all routers to the store at the same time.
            it("is requested by one router after the other") {
                tries(800, leaderIsKnown = false) shouldContainExactly listOf("r1", "r2", "r3")
            }
        }

        describe("a leadership whose leader is known") {
            it("is not requested by any router") {
                tries(5_000, leaderIsKnown = true).shouldBeEmpty()
            }
        }
    })
