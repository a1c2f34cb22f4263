package org.jacinthlink.runtime.membership

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.net.ServerSocket
import org.jacinthlink.api.Role
import org.jacinthlink.runtime.daemon.DaemonShell
import org.jacinthlink.runtime.daemon.MemoryInstanceList
import org.jacinthlink.runtime.daemon.TestFleet
import org.jacinthlink.runtime.daemon.TestLogic
import org.jacinthlink.runtime.daemon.waitUntil

private fun DaemonShell.knows(other: DaemonShell) =
    membership.instances().any { it.description.instance == other.instance }

private val downList = MemoryInstanceList().apply { down = true }

class MembershipSpec :
    DescribeSpec({
        describe("two listed processes") {
            it("know each other within a list interval, and neither itself") {
                TestFleet().use { fleet ->
                    val (a, b) = fleet.startListed("node", 2)
                    (a.knows(b) && b.knows(a)) shouldBe true
                    a.knows(a) shouldBe false
                }
            }
            it("notice a stopped one by themselves, although the list still shows it") {
                TestFleet().use { fleet ->
                    val (a, b) = fleet.startListed("node", 2)
                    b.stop()
                    waitUntil(6_000, "exclusion") { !a.knows(b) }
                }
            }
            it("find a process again that was only reported unreachable") {
                TestFleet().use { fleet ->
                    val (a, b) = fleet.startListed("node", 2)
                    a.membership.reportUnreachable(b.instance)
                    a.knows(b) shouldBe false
                    waitUntil(3_000, "return") { a.knows(b) }
                }
            }
        }

        describe("a process that returns after a long absence") {
            // Guards against a restarted process that waits for the next probe, up to 15 s.
            it("announces itself, so that entries know it within 2 s of its start") {
                TestFleet().use { fleet ->
                    val port = ServerSocket(0).use { it.localPort }
                    fleet.instanceList.list("back", "127.0.0.1:$port")
                    val (a) = fleet.startListed("node", 2)
                    fleet.instanceList.list("node-1", a.address, role = Role.ENTRY)
                    // Five probes fail in this time; the sixth is due 4 s after the fifth.
                    Thread.sleep(4_500)
                    val back = fleet.start("back", port = port)
                    waitUntil(2_000, "return") { a.knows(back) }
                }
            }
        }

        describe("a process that drains") {
            it("is excluded within the bound of 5 s although the list never says so") {
                TestFleet().use { fleet ->
                    val logic = TestLogic().apply { openWork.set(1) }
                    val nodes = fleet.startListed("node", 4) { if (it == 1) logic else TestLogic() }
                    val (b, others) = nodes.first() to nodes.drop(1)
                    b.drain()
                    val tookMs = waitUntil(5_000, "exclusion") { others.none { it.knows(b) } }
                    println("drain_known_ms=$tookMs")
                    tookMs shouldBeLessThan 1_000
                }
            }
        }

        describe("a backend server that is lost") {
            it("is announced, as a round of descriptions takes minutes in a large fleet") {
                TestFleet().use { fleet ->
                    val logic = TestLogic()
                    val (a) = fleet.startListed("node", 2) { if (it == 2) logic else TestLogic() }
                    logic.ready = false
                    waitUntil(3_000, "announcement") {
                        !a.membership.instances().single().description.ready
                    }
                }
            }
        }

        describe("an outage of the instance list") {
            it("leaves the last list in use, also if the list comes back empty") {
                TestFleet().use { fleet ->
                    val (a, b) = fleet.startListed("node", 2)
                    fleet.instanceList.down = true
                    Thread.sleep(3_000)
                    a.knows(b) shouldBe true
                    fleet.instanceList.entries.clear()
                    fleet.instanceList.down = false
                    Thread.sleep(3_000)
                    a.knows(b) shouldBe true
                }
            }
            it("does not keep a process from starting that has a live seed among dead ones") {
                TestFleet().use { fleet ->
                    val (a, b) = fleet.startListed("node", 2)
                    val dead = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }
                    val seeds = listOf(dead, a.address)
                    val late = fleet.start("late", seeds = seeds, instanceList = downList)
                    waitUntil(6_000, "list from a peer") { late.knows(a) && late.knows(b) }
                }
            }
            it("lets a process cut off from the list learn of a new instance from peers") {
                TestFleet().use { fleet ->
                    val cutList = MemoryInstanceList()
                    val (a, b) = fleet.startListed("node", 2)
                    val cut = fleet.start("cut", instanceList = cutList)
                    listOf(a, b).forEach { cutList.list(it.settings.name, it.address) }
                    waitUntil(6_000, "knowledge") { cut.knows(a) && cut.knows(b) }
                    cutList.down = true
                    val late = fleet.start("late")
                    fleet.list(late)
                    waitUntil(25_000, "knowledge of the new one") { cut.knows(late) }
                }
            }
        }
    })
