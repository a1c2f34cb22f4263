package org.jacinthlink.cli.measure

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

class OverheadSpec :
    DescribeSpec({
        describe("the overhead of one kind of work") {
            // Guards against swapped ways and against a difference of unlike percentiles.
            it("is the difference of the same percentiles in milliseconds") {
                val timesUs = (1L..100L).toList()
                val overhead = overhead(timesUs.map { it * 5 }, timesUs.map { it * 2 })
                overhead.throughEntryMs.p50 shouldBe 0.250
                overhead.throughEntryMs.p95 shouldBe 0.475
                overhead.directMs.p50 shouldBe 0.100
                overhead.directMs.p95 shouldBe 0.190
                overhead.addedP50Ms shouldBe 0.150
                overhead.addedP95Ms shouldBe 0.285
            }
            // Guards against noise that is shown as a cost of nothing.
            it("is negative if the entry was faster") {
                overhead(listOf(300), listOf(500)).addedP50Ms shouldBe -0.2
            }
        }

        describe("the report") {
            val plan = OverheadPlan(requests = 1, warmUpRequests = 0)
            val throughEntry = OverheadSample(listOf(900, 1_200, 1_700), 40, 70)
            val direct = OverheadSample(listOf(600, 700, 800), 10, 20)
            val report = overheadReport(plan, listOf(throughEntry), listOf(direct))

            // Guards against gaps that contain the time to the first token, and mixed-up kinds.
            it("takes the first token, the gaps and each plain call by themselves") {
                report.firstTokenMs.addedP50Ms shouldBe 0.3
                report.tokenGapMs.throughEntryMs.count shouldBe 2
                report.tokenGapMs.throughEntryMs.max shouldBe 0.5
                report.tokenGapMs.directMs.max shouldBe 0.1
                report.plainGetMs.addedP50Ms shouldBe 0.03
                report.keyedPostMs.addedP50Ms shouldBe 0.05
            }
            // Guards against columns in another order than their heads.
            it("prints both ways and the difference of each kind in a row") {
                val row = overheadText(report).lines().first { it.startsWith("plain GET") }
                row.split(Regex(" {2,}")).drop(1) shouldBe
                    listOf("0.040", "0.040", "0.010", "0.010", "0.030", "0.030")
            }
            // Guards against figures whose plan is left out where it is the default one.
            it("states the whole plan in its JSON") {
                listOf("requests", "warmUpRequests", "promptTokens", "maxTokens").forEach {
                    overheadJson(report) shouldContain "\"$it\":"
                }
            }
        }
    })
