package org.jacinthlink.runtime.configuration

import com.sun.management.OperatingSystemMXBean
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import java.lang.management.ManagementFactory
import org.jacinthlink.api.Success
import org.jacinthlink.runtime.daemon.DaemonShell
import org.jacinthlink.runtime.daemon.HttpDaemonShell
import org.jacinthlink.runtime.daemon.TestFleet
import org.jacinthlink.runtime.daemon.putClass
import org.jacinthlink.runtime.daemon.waitUntil
import org.jacinthlink.runtime.http.HttpTraffic

private const val WINDOW_MS = 4_000L

// Leaves 3 KB/s of a node's 13 KB/s to reads of the platform and to load reports.
private const val MAX_BYTES_PER_SECOND = 10_240.0

private val processCpu =
    ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean

/** Control traffic of one node in one second; each message counts at both of its ends. */
private class Rate(val messages: Double, val bytes: Double, val cpuPercent: Double)

private fun total(nodes: List<DaemonShell>): HttpTraffic =
    nodes.map { (it as HttpDaemonShell).traffic()!! }.reduce { a, b ->
        HttpTraffic(
            a.requests + b.requests,
            a.receivedBytes + b.receivedBytes,
            a.sentBytes + b.sentBytes
        )
    }

private fun measure(nodes: List<DaemonShell>): Rate {
    val before = total(nodes)
    val cpuNs = processCpu.processCpuTime
    val startNs = System.nanoTime()
    Thread.sleep(WINDOW_MS)
    val seconds = (System.nanoTime() - startNs) / 1e9 * nodes.size
    val after = total(nodes)
    val bytes =
        after.receivedBytes + after.sentBytes - before.receivedBytes - before.sentBytes
    return Rate(
        2 * (after.requests - before.requests) / seconds,
        2 * bytes / seconds,
        (processCpu.processCpuTime - cpuNs) / 1e7 / seconds
    )
}

class ConfigurationSpreadSpec :
    DescribeSpec({
        describe("a change") {
            listOf(10, 20, 40).forEach { count ->
                it("is in force on $count nodes within the bound, at a bounded rate of messages") {
                    TestFleet().use { fleet ->
                        val nodes = fleet.startListed("node", count)
                        val rate = measure(nodes)
                        val readsBefore = fleet.keyValue.reads.get()
                        val startNs = System.nanoTime()
                        val applied =
                            nodes.first().configurationEditor.apply(putClass("c$count")) as Success
                        waitUntil(5_000, "spread") {
                            nodes.all { it.configuration.current.revision >= 1 }
                        }
                        val tookMs = (System.nanoTime() - startNs) / 1_000_000
                        println(
                            "spread nodes=$count took_ms=$tookMs missing=" +
                                "${applied.value.missing.size} messages_per_node_s=%.1f "
                                    .format(rate.messages) +
                                "bytes_per_node_s=%.0f cpu_percent_per_node=%.2f "
                                    .format(rate.bytes, rate.cpuPercent) +
                                "threads=${Thread.activeCount()} " +
                                "reads_during=${fleet.keyValue.reads.get() - readsBefore}"
                        )
                        tookMs shouldBeLessThan 5_000
                        rate.bytes shouldBeLessThan MAX_BYTES_PER_SECOND
                    }
                }
            }
        }
    })
