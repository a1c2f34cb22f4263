package org.jacinthlink.processtests

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.jacinthlink.cli.load.LoadPlan
import org.jacinthlink.cli.load.LoadReport
import org.jacinthlink.cli.load.LoadStream
import org.jacinthlink.cli.load.runLoad
import org.jacinthlink.cli.site.DEMO_MODEL

private const val LAYERS = 12
private const val TOKENS = 40

/**
 * Processor time and memory of each role at growing load, for docs/CAPACITY.md.
 *
 * `-Dcost.rates=10,20,40` sets the requests a second and `-Dcost.seconds` the length of a run.
 */
class CostSpec :
    DescribeSpec({
        val rates = System.getProperty("cost.rates", "10").split(',').map { it.toDouble() }
        val seconds = System.getProperty("cost.seconds", "4").toDouble()
        val fleet = ProcessSite().start()
        afterSpec { fleet.close() }

        fun plan(rate: Double) =
            LoadPlan(
                entries = fleet.site.entries.map { "http://${it.process.address}" },
                targetsMs = mapOf("quotation" to 750L),
                streams =
                listOf(
                    LoadStream(
                        name = "quotations",
                        workspace = "shop-1",
                        workClass = "quotation",
                        ratePerSecond = rate,
                        stopSecond = seconds,
                        model = DEMO_MODEL,
                        maxTokens = TOKENS,
                        verifyLayerCount = LAYERS
                    )
                )
            )

        /** Prints the usage of each role while [work] runs. */
        fun measured(label: String, work: () -> Unit) {
            val before = fleet.launcher.processes.mapValues { ProcessUsage.of(it.value.pid) }
            val startNs = System.nanoTime()
            work()
            val elapsedMs = (System.nanoTime() - startNs) / 1_000_000.0
            fleet.launcher.processes.entries.groupBy { roleOf(it.key) }.forEach { (role, all) ->
                val usages = all.map { ProcessUsage.of(it.value.pid) to before.getValue(it.key) }
                val cpu = usages.map { (now, then) -> (now.cpuMs - then.cpuMs) / elapsedMs * 100 }
                val residentMb = usages.maxOf { it.first.residentBytes } / 1_048_576
                println(
                    "cost,%s,%s,%d,%.2f,%d".format(label, role, all.size, cpu.average(), residentMb)
                )
            }
        }

        fun print(rate: Double, report: LoadReport) {
            val figures = report.classes.getValue("quotation")
            println(
                "load,$rate,sent=${figures.sent},within_target=${figures.withinTargetShare}," +
                    "ttft_p50_ms=${figures.timeToFirstTokenMs.p50}," +
                    "ttft_p95_ms=${figures.timeToFirstTokenMs.p95}," +
                    "gap_p95_ms=${figures.tokenGapMs.p95},late_ms=${report.maxSendDelayMs}"
            )
        }

        describe("the system under load") {
            // Guards against wrong, lost or crossed answers while many streams share batches.
            it("answers every request whole and right") {
                println("cost,load,role,processes,mean_cpu_percent_of_a_core,max_resident_mb")
                runLoad(plan(rates.first()))
                Thread.sleep(2_000)
                measured("idle") { Thread.sleep((seconds * 1_000).toLong()) }
                rates.forEach { rate ->
                    lateinit var report: LoadReport
                    measured("$rate/s") { report = runLoad(plan(rate)) }
                    print(rate, report)
                    val figures = report.classes.getValue("quotation")
                    figures.answered shouldBe figures.sent
                    figures.wrong shouldBe 0
                }
            }
        }
    })
