package org.jacinthlink.processtests

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe

class RollingRestartSpec :
    DescribeSpec({
        describe("a rolling restart of every process under load") {
            // Guards against requests that a stopping or a starting process loses, and bookings
            // that run twice or not at all because their sidecar changed.
            it("loses no request, and each booking runs once") {
                ProcessSite().start().use { fleet ->
                    LoadBalancer(fleet.site.entries.map { it.process.address }).use { balancer ->
                        val load = SteadyLoad(fleet) { balancer.caller(it) }
                        load.awaitMore(20)
                        // Never two that hold the same layers or the same service.
                        listOf(
                            listOf("stage-0-0", "stage-1-1"),
                            listOf("order-desk-0", "entry-0"),
                            listOf("stage-0-1", "stage-1-2"),
                            listOf("order-desk-1", "entry-1"),
                            listOf("stage-0-2", "stage-1-0")
                        ).forEach { names ->
                            fleet.restart(names)
                            eventually("both entries serve", 20_000, balancer::hasAll)
                            load.awaitMore(20)
                        }
                        load.stop()
                        withClue(load.faults) { load.faults.shouldBeEmpty() }
                        load.runsOtherThanOne().shouldBeEmpty()
                        fleet.site.stages.sumOf { it.engine.orderViolations } shouldBe 0
                    }
                }
            }
        }
    })
