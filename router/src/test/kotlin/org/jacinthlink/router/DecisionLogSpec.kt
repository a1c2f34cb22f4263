package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain

class DecisionLogSpec :
    DescribeSpec({
        describe("a log that is not open yet") {
            // Guards against decisions of a start that no log shows.
            it("holds its lines back, and writes them in order before later ones") {
                val written = mutableListOf<String>()
                val log = DecisionLog("r1") { { line -> written.add(line) } }
                log.event("first", "n" to 1)
                log.event("second")
                written shouldContainExactly emptyList()
                log.open()
                log.event("third")
                written.map { it.substringBefore(" instance") } shouldContainExactly
                    listOf("event=first", "event=second", "event=third")
            }
        }

        describe("metrics that are not open yet") {
            it("hold their updates back, and show them afterwards") {
                val metrics = RouterMetrics()
                metrics.answered(30)
                metrics.ended("plain", 200, "answered")
                metrics.text() shouldNotContain "jacinthlink"
                metrics.open(metrics.loadMeters())
                metrics.ended("plain", 200, "answered")
                metrics.text() shouldContain
                    Regex("""jacinthlink_requests_total\{.*kind="plain".*\} 2""")
                metrics.text() shouldContain "jacinthlink_answer_seconds_count 1"
            }
        }

        describe("a gauge") {
            // Guards against gauges that show no number once the heap has been collected.
            it("shows its value as long as the process runs") {
                val metrics = RouterMetrics()
                metrics.open(metrics.loadMeters())
                val servers = listOf("a", "b")
                metrics.gauge("jacinthlink.servers") { servers.size }
                System.gc()
                metrics.text() shouldContain "jacinthlink_servers 2.0"
            }
        }
    })
