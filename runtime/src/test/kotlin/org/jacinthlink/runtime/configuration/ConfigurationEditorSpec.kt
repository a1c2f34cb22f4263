package org.jacinthlink.runtime.configuration

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.maps.shouldContainKeys
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.CompletableFuture
import org.jacinthlink.api.Configuration
import org.jacinthlink.api.Failure
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success
import org.jacinthlink.decision.configuration.applyChange
import org.jacinthlink.runtime.daemon.HttpDaemonShell
import org.jacinthlink.runtime.daemon.MemoryKeyValue
import org.jacinthlink.runtime.daemon.TestFleet
import org.jacinthlink.runtime.daemon.putClass
import org.jacinthlink.runtime.daemon.waitUntil
import org.jacinthlink.runtime.events.eventLog
import org.jacinthlink.runtime.http.peerClient
import org.jacinthlink.runtime.systemClock

private class EditorUnderTest(val keyValue: MemoryKeyValue = MemoryKeyValue()) {
    private val log = eventLog("test", systemClock())
    val store = ConfigurationStore(log)
    private val peers = ConfigurationPeers(peerClient())
    private val confirmation =
        ConfigurationConfirmation(store, peers, { InstanceId("self") }, { emptyList() }) {
            System.currentTimeMillis()
        }
    val editor = KeyValueConfigurationEditor(keyValue, store, ::applyChange, confirmation, log)

    fun stored(): Configuration = decodeStored(keyValue.current(CONFIGURATION_KEY))!!
}

private fun Outcome<AppliedChange>.revision() = (this as Success).value.revision

private fun Outcome<AppliedChange>.code() = shouldBeInstanceOf<Failure>().code

class ConfigurationEditorSpec :
    DescribeSpec({
        describe("a change") {
            it("is written at the version of the key, which becomes its revision") {
                val test = EditorUnderTest()
                test.editor.apply(putClass("one")).revision() shouldBe 1
                test.editor.apply(putClass("two"), expectedRevision = 1).revision() shouldBe 2
                test.store.current.revision shouldBe 2
                test.stored().classes.shouldContainKeys("one", "two")
            }
            it("is refused when its expected revision is not in force") {
                val test = EditorUnderTest()
                test.editor.apply(putClass("one"))
                val result = test.editor.apply(putClass("two"), expectedRevision = 0)
                result.code() shouldBe ResultCode.CONFIGURATION_CONFLICT
                test.stored().classes.keys shouldBe setOf("one")
            }
            it("that breaks the rules is refused and not written") {
                val test = EditorUnderTest()
                val result = test.editor.apply(putClass("one", worth = 0))
                result.code() shouldBe ResultCode.CONFIGURATION_INVALID
                test.keyValue.current(CONFIGURATION_KEY) shouldBe null
            }
            it("is not applied while the key-value service is down") {
                val test = EditorUnderTest(MemoryKeyValue().apply { down = true })
                test.editor.apply(putClass("one")).code() shouldBe
                    ResultCode.CONFIGURATION_UNAVAILABLE
                test.keyValue.down = false
                test.keyValue.current(CONFIGURATION_KEY) shouldBe null
            }
        }

        describe("a lost answer") {
            it("is resolved by reading back, and the change is applied once") {
                val test = EditorUnderTest()
                test.keyValue.lostAnswers.set(1)
                test.editor.apply(putClass("one")).revision() shouldBe 1
                test.stored().recentChangeIds shouldContainExactly listOf("one")
            }
            it("of a write that never arrived leads to a second write") {
                val test = EditorUnderTest()
                test.keyValue.lostWrites.set(1)
                test.editor.apply(putClass("one")).revision() shouldBe 1
            }
            it("is reported as unknown if reading back fails, never as not applied") {
                val test = EditorUnderTest()
                test.keyValue.lostAnswers.set(1)
                test.keyValue.afterSwap = { test.keyValue.down = true }
                test.editor.apply(putClass("one")).code() shouldBe
                    ResultCode.CONFIGURATION_UNKNOWN
            }
            it("is resolved when the service comes back during the reads") {
                val test = EditorUnderTest()
                test.keyValue.lostAnswers.set(1)
                test.keyValue.afterSwap = {
                    test.keyValue.down = true
                    CompletableFuture.runAsync {
                        Thread.sleep(250)
                        test.keyValue.down = false
                    }
                }
                test.editor.apply(putClass("one")).revision() shouldBe 1
            }
            it("does not hide that another editor overtook the lost write") {
                val test = EditorUnderTest()
                val other = EditorUnderTest(test.keyValue)
                test.keyValue.lostWrites.set(1)
                test.keyValue.afterSwap = {
                    test.keyValue.afterSwap = {}
                    other.editor.apply(putClass("other")).revision() shouldBe 1
                }
                val result = test.editor.apply(putClass("one"), expectedRevision = 0)
                result.code() shouldBe ResultCode.CONFIGURATION_CONFLICT
                test.stored().classes.keys shouldBe setOf("other")
            }
        }

        describe("two editors at the same time") {
            it("lose no change of either") {
                TestFleet().use { fleet ->
                    val nodes = fleet.startListed("editor", 2)
                    val results =
                        nodes.map { node ->
                            CompletableFuture.supplyAsync {
                                (1..10).map { index ->
                                    val change = putClass("${node.settings.name}-$index")
                                    node.configurationEditor.apply(change).revision()
                                }
                            }
                        }
                    val revisions = results.flatMap { it.get() }
                    revisions.sorted() shouldBe (1L..20L).toList()
                    nodes.forEach { it.configuration.current.classes.size shouldBe 20 }
                }
            }
        }

        describe("the report of a change") {
            it("names the instances at the revision and those that did not answer") {
                TestFleet().use { fleet ->
                    val (a, b, c) = fleet.startListed("report", 3)
                    c.stop()
                    val applied =
                        (a.configurationEditor.apply(putClass("one")) as Success).value
                    applied.inForce[a.instance] shouldBe applied.revision
                    applied.inForce[InstanceId(b.settings.name)] shouldBe applied.revision
                    applied.missing shouldContainExactly listOf(InstanceId(c.settings.name))
                    fleet.instanceList.entries.remove(InstanceId(c.settings.name))
                    waitUntil(6_000, "removal") {
                        (a as HttpDaemonShell).membership.listedPeers().size == 1
                    }
                    a.configurationEditor.apply(putClass("two")).let { it as Success }
                        .value.missing.shouldBeEmpty()
                }
            }
        }
    })
