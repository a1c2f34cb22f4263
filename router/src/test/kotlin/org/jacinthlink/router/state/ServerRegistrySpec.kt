package org.jacinthlink.router.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.jacinthlink.decision.fleet.LayerChange
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.decision.fleet.ServerStart
import org.jacinthlink.platform.store.StoreChange
import org.jacinthlink.platform.store.StoreItem
import org.jacinthlink.router.decisionLog

class ServerRegistrySpec :
    DescribeSpec({
        fun item(id: String, layers: String, bornAtMs: Long = 1, state: String = "ready") =
            StoreItem(
                "servers/$id",
                """{"service":"s","address":"10.0.0.1:80","zone":"z","state":"$state","slots":1,
                "kind":"l4","born":$bornAtMs$layers}""".toByteArray(),
                1,
                1,
                0
            )

        var nowMs = 0L
        lateinit var registry: ServerRegistry

        beforeEach {
            nowMs = 10_000
            registry = ServerRegistry(decisionLog("test"), { nowMs }) {}
            registry.readAll(listOf(item("a", ""), item("b", "")))
        }

        fun readyIds() = registry.ready("s").map { it.instanceId }

        describe("a server that is missing after an outage of the store") {
            // Guards against dropping all servers because their entries expired during the outage.
            it("stays for the grace period in which live servers register again") {
                registry.readAll(listOf(item("a", "")))
                nowMs += 2_199
                registry.expire(nowMs)
                readyIds() shouldContainExactly listOf("a", "b")
                nowMs += 1
                registry.expire(nowMs)
                readyIds() shouldContainExactly listOf("a")
            }

            it("stays permanently once it has registered again") {
                registry.readAll(emptyList())
                registry.onChange(StoreChange.Written(item("a", "")))
                nowMs += 5_000
                registry.expire(nowMs)
                readyIds() shouldContainExactly listOf("a")
            }
        }

        describe("a server that has restarted at its address under a new id") {
            // Guards against a previous start that seems to be back, so that other servers release
            // layers and requests are rejected. This happened when the entry of the previous start
            // stayed for 0.7 s while the store had lost its history.
            it("replaces the previous start, whose entry is still there") {
                registry.recordReportedLayers("a", 1, LayerRange(0, 5), nowMs)
                registry.onChange(StoreChange.Written(item("c", "", bornAtMs = 2)))
                readyIds() shouldContainExactly listOf("c")
                registry.byId("c")?.layers shouldBe null
            }

            it("stays when the entry of the previous start is read again") {
                registry.readAll(listOf(item("c", "", bornAtMs = 2), item("a", "")))
                readyIds() shouldContainExactly listOf("c")
            }
        }

        describe("a server at whose address another one answers") {
            // Guards against a layout that includes a server that no longer exists: four orders for
            // layers 39-44 were sent to such a server within 1.2 s.
            it("is not used until its entry is written again") {
                registry.removeReplaced("a")
                readyIds() shouldContainExactly listOf("b")
                registry.onChange(StoreChange.Written(item("a", "")))
                readyIds() shouldContainExactly listOf("b", "a")
            }
        }

        describe("a server whose clock was set back before it started again") {
            // Guards against a live server that is never used again.
            it("is used once the entry of the previous start is removed") {
                val other = ServerRegistry(decisionLog("test"), { nowMs }) {}
                other.readAll(listOf(item("a", "", bornAtMs = 5)))
                other.onChange(StoreChange.Written(item("b", "", bornAtMs = 3)))
                other.all.map { it.instanceId } shouldContainExactly listOf("a")
                other.onChange(StoreChange.Removed("servers/a", 2))
                other.all.map { it.instanceId } shouldContainExactly listOf("b")
            }
        }

        describe("a server whose entry is removed") {
            it("is not used any more") {
                registry.onChange(StoreChange.Removed("servers/a", 2))
                readyIds() shouldContainExactly listOf("b")
            }
        }

        describe("layers") {
            // Guards against requests for layers that an engine has released.
            it("that a server reported itself take precedence over an older entry") {
                registry.recordReportedLayers("a", 1, LayerRange(0, 5), nowMs)
                val entry = ""","layers":{"from":0,"to":9}"""
                registry.onChange(StoreChange.Written(item("a", entry)))
                registry.byId("a")?.layers shouldBe LayerRange(0, 5)
            }

            it("of a previous start are dropped") {
                registry.recordReportedLayers("a", 1, LayerRange(0, 5), nowMs)
                registry.onChange(StoreChange.Written(item("a", "", bornAtMs = 2)))
                registry.byId("a")?.layers shouldBe null
            }

            it("that are about to be released are not usable") {
                registry.recordReportedLayers("a", 1, LayerRange(0, 5), nowMs)
                registry.replaceOrderedChanges(mapOf("a" to LayerChange(LayerRange(0, 3), 5)))
                val server = registry.ready("s").first()
                server.usableLayers shouldBe LayerRange(0, 3)
                server.layers shouldBe LayerRange(0, 5)
            }

            // Guards against gossip that saturates the links of all routers, because each repeats
            // what it received from the others or what has not changed.
            it("are sent to the peers only when this router has observed a change itself") {
                registry.recordGossipedLayers("a", 1, LayerRange(0, 5), nowMs)
                registry.recordReportedLayers("a", 1, LayerRange(0, 5), nowMs)
                registry.changedSince(nowMs).keys.shouldBeEmpty()
                registry.recordReportedLayers("b", 1, LayerRange(0, 5), nowMs)
                registry.changedSince(nowMs).keys.map { it.instanceId } shouldBe listOf("b")
            }

            // Guards against requests that exceed a server's memory while it loads layers.
            it("that are being loaded occupy memory before they can be used") {
                registry.recordReportedLayers("a", 1, LayerRange(0, 5), nowMs)
                registry.replaceOrderedChanges(mapOf("a" to LayerChange(null, 9)))
                val server = registry.ready("s").first()
                server.usableLayers shouldBe LayerRange(0, 5)
                server.weightLayers shouldBe 9
            }
        }

        describe("a server that has announced that it is draining") {
            // Guards against requests that a draining server receives because its entry in the
            // store, or a peer's list, still shows it as ready.
            it("gets no new requests, whatever its entry says") {
                registry.recordDraining(ServerStart("a", 1), "response")
                readyIds() shouldContainExactly listOf("b")
                registry.onChange(StoreChange.Written(item("a", "")))
                registry.readAll(listOf(item("a", ""), item("b", "")))
                registry.recordReportedLayers("a", 1, LayerRange(0, 5), nowMs)
                readyIds() shouldContainExactly listOf("b")
            }

            it("gets none either when its removed entry is written again") {
                registry.recordDraining(ServerStart("a", 1), "response")
                registry.onChange(StoreChange.Removed("servers/a", 2))
                registry.onChange(StoreChange.Written(item("a", "")))
                readyIds() shouldContainExactly listOf("b")
            }

            // Guards against requests to a server that leaves, after the store has returned from a
            // copy in which its entry is still that of a ready server.
            it("gets none when an earlier entry of its start is listed again") {
                registry.onChange(StoreChange.Written(item("a", "", state = "draining")))
                registry.readAll(listOf(item("a", ""), item("b", "")))
                readyIds() shouldContainExactly listOf("b")
            }

            it("gets requests again once it has restarted under the same id") {
                registry.recordDraining(ServerStart("a", 1), "response")
                registry.onChange(StoreChange.Written(item("a", "", bornAtMs = 2)))
                // Both entries of this spec have one address, so the later start replaces "b".
                readyIds() shouldContainExactly listOf("a")
            }

            it("is announced to the peers for a while") {
                registry.recordDraining(ServerStart("a", 1), "response")
                registry.drainingSince(nowMs) shouldContainExactly listOf(ServerStart("a", 1))
                registry.drainingSince(nowMs + 1).shouldBeEmpty()
            }
        }

        describe("an entry that another program has overwritten") {
            fun unreadable(id: String) = StoreItem("servers/$id", "[[".toByteArray(), 1, 1, 0)

            // Guards against a router that no longer follows the list after one odd entry.
            it("does not affect the other servers") {
                registry.onChange(StoreChange.Written(unreadable("x")))
                registry.readAll(listOf(unreadable("x"), item("a", ""), item("b", "")))
                readyIds() shouldContainExactly listOf("a", "b")
            }

            it("counts as missing until the server writes it again") {
                registry.onChange(StoreChange.Written(unreadable("a")))
                nowMs += 2_200
                registry.expire(nowMs)
                readyIds() shouldContainExactly listOf("b")
                registry.onChange(StoreChange.Written(item("a", "")))
                readyIds() shouldContainExactly listOf("b", "a")
            }
        }

        describe("entries that cannot be read") {
            it("are ignored") {
                val other = ServerRegistry(decisionLog("test"), { nowMs }) {}
                other.readAll(listOf(StoreItem("servers/x", "?".toByteArray(), 1, 1, 0)))
                other.all.shouldBeEmpty()
            }
        }
    })
