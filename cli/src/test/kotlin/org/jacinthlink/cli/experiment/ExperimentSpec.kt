package org.jacinthlink.cli.experiment

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.jacinthlink.cli.load.FinishedRequest
import org.jacinthlink.cli.load.LoadStream
import org.jacinthlink.cli.load.RequestOutcome
import org.jacinthlink.cli.load.ScheduledRequest
import org.jacinthlink.cli.site.inJvmLauncher

class ExperimentSpec :
    DescribeSpec({
        describe("the smallest run") {
            // Guards against results without the figures that pages and comparisons read.
            it("gives the figures of each policy as JSON and a plot with a line for each") {
                val scenario =
                    smallScenario().copy(
                        timing = RunTiming(0.5, 0.5, 2.0, 0.5),
                        runs = listOf(RunNames.STEADY)
                    )
                val result = runExperiment(scenario, POLICIES.keys, { inJvmLauncher() }).single()
                val json = Json.parseToJsonElement(resultJson(result)).jsonObject
                json.keys shouldContainExactlyInAnyOrder RUN_FIELDS
                val policies = json.getValue("policies").jsonObject
                policies.keys shouldBe POLICIES.keys
                policies.values.forEach {
                    it.jsonObject.keys shouldContainExactlyInAnyOrder POLICY_FIELDS
                }
                result.policies.values.forEach {
                    it.throughputOverBound shouldBeGreaterThan 0.0
                    it.classes.keys shouldBe setOf("quotation", "question", "summary", "booking")
                    it.classes.values.sumOf { figures -> figures.wrong } shouldBe 0
                }
                POLICIES.keys.forEach { resultSvg(result) shouldContain "<title>$it</title>" }
            }
        }

        describe("the sites") {
            // Guards against a site that loses a whole layer with one zone, and against a fault
            // that leaves the bound as it was.
            it("have forty runners and a bound that a lost zone lowers, but not to nothing") {
                (scenarios().values - smallScenario()).forEach { scenario ->
                    scenario.site.pipelines.sumOf { it.stages.size } shouldBe 40
                    val whole = boundPositionsPerSecond(scenario.site)
                    scenario.site.zones.forEach { zone ->
                        val left = boundPositionsPerSecond(scenario.site, Fault.LostZone(zone))
                        left shouldBeGreaterThan 0.4 * whole
                        left shouldBeLessThanOrEqual 0.9 * whole
                    }
                }
            }
        }

        describe("the recovery time") {
            val stream = LoadStream("s", "w", "c", ratePerSecond = 10.0, stopSecond = 9.0)

            fun requests(missedUs: LongRange) =
                (0L until 9_000_000L step 100_000L).mapIndexed { number, sendAtUs ->
                    val isMissed = sendAtUs in missedUs
                    FinishedRequest(
                        ScheduledRequest(sendAtUs, stream, number),
                        if (isMissed) RequestOutcome.FAILED else RequestOutcome.ANSWERED,
                        sendAtUs + 1
                    )
                }

            fun recovery(missedUs: LongRange) =
                recoveryUs(requests(missedUs), 3_000_000) { it.isAnswered }

            // Guards against a recovery that ends before the last late request.
            it("lasts until the last miss, is none without a miss, and is open without an end") {
                recovery(LongRange.EMPTY) shouldBe 0
                recovery(0L..1_000_000) shouldBe 0
                recovery(3_000_000L..4_500_000) shouldBe 1_500_000
                recovery(3_000_000L..8_000_000) shouldBe null
            }
        }
    })

private val RUN_FIELDS =
    listOf(
        "scenario",
        "run",
        "offeredOverBound",
        "boundPositionsPerSecond",
        "boundAfterFaultPositionsPerSecond",
        "leadSeconds",
        "seconds",
        "faultAtSecond",
        "policies"
    )

private val POLICY_FIELDS =
    listOf(
        "throughputOverBound",
        "classes",
        "kept",
        "smallCallersMs",
        "recoveryMs",
        "maxUrgentGapMs",
        "machineCpuShare",
        "ownCores",
        "maxSendDelayMs",
        "throughputSeries",
        "classSeries"
    )
