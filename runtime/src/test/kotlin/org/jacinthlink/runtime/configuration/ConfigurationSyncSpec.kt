package org.jacinthlink.runtime.configuration

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.CopyOnWriteArrayList
import org.jacinthlink.api.Configuration
import org.jacinthlink.api.Headers
import org.jacinthlink.api.Success
import org.jacinthlink.runtime.daemon.DaemonShell
import org.jacinthlink.runtime.daemon.MemoryKeyValue
import org.jacinthlink.runtime.daemon.TestFleet
import org.jacinthlink.runtime.daemon.putClass
import org.jacinthlink.runtime.daemon.waitUntil
import org.jacinthlink.runtime.events.eventLog
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult

private fun DaemonShell.apply(changeId: String): Long =
    (configurationEditor.apply(putClass(changeId)) as Success).value.revision

private fun DaemonShell.revision() = configuration.current.revision

private fun downService() = MemoryKeyValue().apply { down = true }

class ConfigurationSyncSpec :
    DescribeSpec({
        describe("a store") {
            it("never accepts a lower revision, and passes each newer one on in order") {
                val store = ConfigurationStore(eventLog("test", { 0L }))
                val seen = CopyOnWriteArrayList<Long>()
                store.addListener { error("a faulty listener does not stop the others") }
                store.addListener { seen += it.revision }
                listOf(1L, 3L, 2L, 3L, 4L).forEach { store.offer(Configuration(it), "test") }
                store.current.revision shouldBe 4
                seen shouldBe listOf(1L, 3L, 4L)
            }
        }

        describe("a process that is cut off from the key-value service, but not from peers") {
            it("gets changes from peers, and keeps them through the outage") {
                TestFleet().use { fleet ->
                    val (a, b) = fleet.startListed("node", 2)
                    val seeds = listOf(b.address)
                    val cut = fleet.start("cut", seeds = seeds, keyValue = downService())
                    fleet.list(cut)
                    waitUntil(6_000, "knowledge") { a.membership.instances().size == 2 }
                    val revision = a.apply("one")
                    waitUntil(3_000, "revision on the cut-off process") {
                        cut.revision() == revision
                    }
                    cut.configuration.current.classes.keys shouldBe setOf("one")
                }
            }
        }

        describe("an outage of the key-value service during a start") {
            it("gives the new process the document of its peers") {
                TestFleet().use { fleet ->
                    val (a) = fleet.startListed("node", 2)
                    val revision = a.apply("one")
                    fleet.keyValue.down = true
                    val late = fleet.start("late", seeds = listOf(a.address))
                    waitUntil(3_000, "document from a peer") { late.revision() == revision }
                }
            }
            it("does not bring an earlier document back when the service lost its data") {
                TestFleet().use { fleet ->
                    val a = fleet.start("node")
                    repeat(3) { a.apply("change-$it") }
                    val emptied = MemoryKeyValue()
                    val late =
                        fleet.start("late", keyValue = emptied, seeds = listOf(a.address))
                    waitUntil(3_000, "document from a peer") { late.revision() == 3L }
                    val reads = emptied.reads.get()
                    waitUntil(6_000, "another poll") { emptied.reads.get() > reads }
                    Thread.sleep(100)
                    late.revision() shouldBe 3
                }
            }
        }

        describe("a message with a higher revision") {
            it("makes its receiver fetch the document from the sender") {
                TestFleet().use { fleet ->
                    val a = fleet.start("ahead")
                    val b = fleet.start("behind", keyValue = downService())
                    a.apply("one")
                    val call = PeerCall("GET", "http://${b.address}/v1/describe")
                    a.peerClient.call(call, 2_000).shouldBeInstanceOf<PeerResult.Answered>()
                    waitUntil(2_000, "pull") { b.revision() == a.revision() }
                }
            }
            it("is ignored without the peer token, so that callers cannot cause fetches") {
                TestFleet().use { fleet ->
                    val a = fleet.start("ahead")
                    val b = fleet.start("behind", keyValue = downService())
                    a.apply("one")
                    val headers = mapOf(Headers.REVISION to "1", Headers.SENDER to a.address)
                    val call = PeerCall("GET", "http://${b.address}/open/x", headers = headers)
                    b.externalClient.call(call, 2_000).shouldBeInstanceOf<PeerResult.Answered>()
                    Thread.sleep(300)
                    b.revision() shouldBe 0
                }
            }
        }
    })
