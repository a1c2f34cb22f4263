package org.jacinthlink.router.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.jacinthlink.decision.fleet.LayerChange
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.platform.store.StoreChange
import org.jacinthlink.platform.store.StoreItem
import org.jacinthlink.router.decisionLog

class ServerRegistrySpec :
    DescribeSpec({
        fun item(id: String, layers: String, bornAtMs: Long = 1) =
            StoreItem(
                "servers/$id",
                """{"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","slots":1,
                "kind":"l4","born":$bornAtMs$layers}""".toByteArray(),
                1,
                1,
                0
            )

        var nowMs = 0L
        lateinit var directory: ServerRegistry

        beforeEach {
            nowMs = 10_000
            directory = ServerRegistry(decisionLog("test"), { nowMs }) {}
            directory.onSnapshot(listOf(item("a", ""), item("b", "")))
        }

        fun known() = directory.ready("s").map { it.instanceId }

        describe("a server that is missing after an outage of the store") {
            // Guards against a fleet that is given up because its entries lapsed meanwhile.
            it("stays for the time in which living servers come back") {
                directory.onSnapshot(listOf(item("a", "")))
                nowMs += 2_199
                directory.expire(nowMs)
                known() shouldContainExactly listOf("a", "b")
                nowMs += 1
                directory.expire(nowMs)
                known() shouldContainExactly listOf("a")
            }

            it("stays for good when it comes back") {
                directory.onSnapshot(emptyList())
                directory.onChange(StoreChange.Written(item("a", "")))
                nowMs += 5_000
                directory.expire(nowMs)
                known() shouldContainExactly listOf("a")
            }
        }

        describe("a server that has started again at its address under a new id") {
            // Guards against layers that others give up, and requests that are turned away, because
            // the former start seems to be back: seen in scale-2 of ubcls-router, where the entry
            // of the former start stayed for 0.7 s while the store had forgotten its history.
            it("takes the place of the former start, whose entry is still there") {
                directory.learnLayers("a", 1, LayerRange(0, 5), nowMs)
                directory.onChange(StoreChange.Written(item("c", "", bornAtMs = 2)))
                known() shouldContainExactly listOf("c")
                directory.byId("c")?.layers shouldBe null
            }

            it("stays when the entry of the former start is read again") {
                directory.onSnapshot(listOf(item("c", "", bornAtMs = 2), item("a", "")))
                known() shouldContainExactly listOf("c")
            }
        }

        describe("a server at whose address another one answers") {
            // Guards against a layout that counts on a server that is gone: seen in trouble-3 of
            // ubcls-router, where four orders for layers 39-44 went to it within 1.2 s.
            it("is not used until its entry is written again") {
                directory.noteReplaced("a")
                known() shouldContainExactly listOf("b")
                directory.onChange(StoreChange.Written(item("a", "")))
                known() shouldContainExactly listOf("b", "a")
            }
        }

        describe("a server whose clock was set back before it started again") {
            // Guards against a living server that is left out for good.
            it("is used once the entry of the former start is gone") {
                val other = ServerRegistry(decisionLog("test"), { nowMs }) {}
                other.onSnapshot(listOf(item("a", "", bornAtMs = 5)))
                other.onChange(StoreChange.Written(item("b", "", bornAtMs = 3)))
                other.all.map { it.instanceId } shouldContainExactly listOf("a")
                other.onChange(StoreChange.Removed("servers/a", 2))
                other.all.map { it.instanceId } shouldContainExactly listOf("b")
            }
        }

        describe("a server whose entry is removed") {
            it("is not used any more") {
                directory.onChange(StoreChange.Removed("servers/a", 2))
                known() shouldContainExactly listOf("b")
            }
        }

        describe("layers") {
            // Guards against requests for layers that an engine has given up.
            it("that a server told itself go before an older entry") {
                directory.learnLayers("a", 1, LayerRange(0, 5), nowMs)
                val entry = ""","layers":{"from":0,"to":9}"""
                directory.onChange(StoreChange.Written(item("a", entry)))
                directory.byId("a")?.layers shouldBe LayerRange(0, 5)
            }

            it("of a former start are forgotten") {
                directory.learnLayers("a", 1, LayerRange(0, 5), nowMs)
                directory.onChange(StoreChange.Written(item("a", "", bornAtMs = 2)))
                directory.byId("a")?.layers shouldBe null
            }

            it("that are about to be given up are not usable") {
                directory.learnLayers("a", 1, LayerRange(0, 5), nowMs)
                directory.noteChanges(mapOf("a" to LayerChange(LayerRange(0, 3), 5)))
                val server = directory.ready("s").first()
                server.usableLayers shouldBe LayerRange(0, 3)
                server.layers shouldBe LayerRange(0, 5)
            }

            // Guards against news that fill the links of all routers, when each tells the others
            // again what it has from them or what has not changed.
            it("are told to the peers only when this process has found them changed") {
                directory.hearLayers("a", 1, LayerRange(0, 5), nowMs)
                directory.learnLayers("a", 1, LayerRange(0, 5), nowMs)
                directory.changedSince(nowMs).keys.shouldBeEmpty()
                directory.learnLayers("b", 1, LayerRange(0, 5), nowMs)
                directory.changedSince(nowMs).keys.map { it.instanceId } shouldBe listOf("b")
            }

            // Guards against requests for which a server has no memory while it loads layers.
            it("that are being loaded take memory before they can be used") {
                directory.learnLayers("a", 1, LayerRange(0, 5), nowMs)
                directory.noteChanges(mapOf("a" to LayerChange(null, 9)))
                val server = directory.ready("s").first()
                server.usableLayers shouldBe LayerRange(0, 5)
                server.weightLayers shouldBe 9
            }
        }

        describe("entries that cannot be read") {
            it("name no server") {
                val other = ServerRegistry(decisionLog("test"), { nowMs }) {}
                other.onSnapshot(listOf(StoreItem("servers/x", "?".toByteArray(), 1, 1, 0)))
                other.all.shouldBeEmpty()
            }
        }
    })
