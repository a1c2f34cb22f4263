package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.decision.fleet.ServerState

class PathLoadSpec :
    DescribeSpec({
        fun part(id: String, layers: LayerRange, capacityTokens: Long): PathPart {
            val server =
                BackendServer(
                    id, "model", id, 80, "a", ServerState.READY, 134, 0, "a100s", layers
                )
            return PathPart(server, layers, capacityTokens)
        }

        fun path(home: String, vararg parts: PathPart) =
            ServingPath(home, parts.toList(), zoneCrossings = 0, slots = 134)

        val single = path("a", part("s", LayerRange(0, 80), 175_000))

        fun ServingPath.shareWith(present: PathLoad, next: PathLoad) =
            utilization(next, listOf(this)) { present }

        describe("a path with much memory in a burst of short prompts") {
            // Guards against requests that wait for an engine whose slots are all in use.
            it("is full when all slots of its first server are in use") {
                val share = single.shareWith(PathLoad(60_000, 133), PathLoad(450, 1))
                share shouldBe (1.0 plusOrMinus 0.001)
            }

            it("runs no more tokens at once than fit into its slots") {
                usableTokens(listOf(single), 450) shouldBe 60_300
                usableTokens(listOf(single), 2_000) shouldBe 175_000
            }
        }

        describe("a path with large prompts") {
            it("is full when all its memory is in use") {
                val share = single.shareWith(PathLoad(172_720, 76), PathLoad(2_280, 1))
                share shouldBe (1.0 plusOrMinus 0.001)
            }
        }

        describe("paths of two zones that borrow the layers of one server") {
            val shared = part("lender", LayerRange(40, 56), 47_000)
            val paths = listOf("a", "b").map {
                path(it, part(it, LayerRange(0, 40), 90_000), shared)
            }
            val loads = paths.associate { it.id to PathLoad(23_000, 30) }

            // Guards against requests that are rejected by a server that requests of its other
            // paths have filled: one server rejected 399 requests within 5 s.
            it("are full when the shared server is full") {
                val share = paths[0].utilization(PathLoad(1_000, 1), paths, loads::getValue)
                share shouldBe (1.0 plusOrMinus 0.001)
            }
        }

        describe("two paths of a zone that differ in their first servers") {
            val rest = part("rest", LayerRange(5, 80), 150_000)
            val paths = listOf("x", "y").map {
                path("a", part(it, LayerRange(0, 5), 100_000), rest)
            }
            val loads = paths.associate { it.id to PathLoad(60_000, 133) }

            // Guards against requests that wait for a full server while another has free slots.
            it("accept as many requests as both first servers together") {
                val none = paths.associate { it.id to NO_LOAD }
                val next = PathLoad(450, 1)
                paths[0].slotUtilization(next, paths, loads::getValue) shouldBe
                    (1.0 plusOrMinus 0.001)
                paths[0].slotUtilization(next, paths, none::getValue) shouldBe
                    (1.0 / 134 plusOrMinus 0.001)
                usableTokens(paths, 450) shouldBe 120_600
            }

            it("share the memory of the servers behind them") {
                val share = paths[0].utilization(PathLoad(30_000, 1), paths, loads::getValue)
                share shouldBe (1.0 plusOrMinus 0.001)
                usableTokens(paths, 2_000) shouldBe 150_000
            }
        }
    })
