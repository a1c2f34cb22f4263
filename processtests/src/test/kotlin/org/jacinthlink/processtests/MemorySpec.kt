package org.jacinthlink.processtests

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.jacinthlink.cli.load.LoadPlan
import org.jacinthlink.cli.load.LoadStream
import org.jacinthlink.cli.load.runLoad
import org.jacinthlink.cli.site.DEMO_MODEL

private const val LIMIT_MB = 256L

class MemorySpec :
    DescribeSpec({
        val fleet = ProcessSite().start()
        afterSpec { fleet.close() }

        describe("each role under a load of streams") {
            // Guards against a daemon that outgrows the memory of a small instance.
            it("stays under 256 MB of resident memory at its largest") {
                // A long target, so that a slow machine queues requests and refuses none.
                val plan =
                    LoadPlan(
                        entries = fleet.site.entries.map { "http://${it.process.address}" },
                        targetsMs = mapOf("summary" to 60_000L),
                        streams =
                        listOf(
                            LoadStream(
                                name = "summaries",
                                workspace = "shop-1",
                                workClass = "summary",
                                ratePerSecond = 40.0,
                                stopSecond = 10.0,
                                model = DEMO_MODEL,
                                maxTokens = 40
                            )
                        )
                    )
                val figures = runLoad(plan).classes.getValue("summary")
                withClue("$figures") { figures.answered shouldBe figures.sent }
                val processes = fleet.launcher.processes.entries
                processes.groupBy { roleOf(it.key) }.forEach { (role, all) ->
                    val largestMb = all.maxOf { ProcessUsage.largestResidentMb(it.value.pid) }
                    println("memory,$role,$largestMb")
                    withClue(role) { largestMb shouldBeLessThan LIMIT_MB }
                }
            }
        }
    })
