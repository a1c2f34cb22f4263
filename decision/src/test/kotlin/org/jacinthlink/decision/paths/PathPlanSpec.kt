package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.LayerChange
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.decision.fleet.ServerState
import org.jacinthlink.decision.fleet.TEST_ENGINE

class PathPlanSpec :
    DescribeSpec({
        fun server(id: String, zone: String, from: Int, to: Int) =
            BackendServer(
                id, "model", "10.0.0.${id.hashCode() and 0xff}", 8_000 + from, zone,
                ServerState.READY, 134, 0, "a100s", LayerRange(from, to)
            )

        fun ServingPath.layers() = parts.map { it.layers.toString() }

        val zoneA = listOf(server("a1", "a", 0, 30), server("a2", "a", 30, 80))
        val zoneB = listOf(server("b1", "b", 0, 40), server("b2", "b", 40, 80))

        describe("paths") {
            it("stay in a zone that holds all layers") {
                val paths = planPaths(TEST_ENGINE, zoneA + zoneB, emptySet())
                paths.map { it.home } shouldContainExactly listOf("a", "b")
                paths.map { it.zoneCrossings } shouldContainExactly listOf(0, 0)
                paths[0].layers() shouldContainExactly listOf("0-30", "30-80")
            }

            // Guards against tokens that pass through the same layer on two servers.
            it("run each layer once where two servers hold it") {
                val wide = listOf(server("a1", "a", 0, 50), server("a2", "a", 30, 80))
                planPaths(TEST_ENGINE, wide, emptySet()).single().layers() shouldContainExactly
                    listOf("0-50", "50-80")
            }

            it("borrow the layers of a failed server from another zone") {
                val path =
                    planPaths(TEST_ENGINE, zoneA + zoneB, setOf(zoneA[1].address))
                        .first { it.home == "a" }
                path.layers() shouldContainExactly listOf("0-30", "30-40", "40-80")
                path.zoneCrossings shouldBe 1
            }

            // Guards against paths that all pass through an engine that has become slow.
            it("avoid a slow server, or use it if no other server holds its layers") {
                val slow = setOf(zoneA[1].address)
                planPaths(TEST_ENGINE, zoneA + zoneB, emptySet(), slow).first { it.home == "a" }
                    .layers() shouldContainExactly listOf("0-30", "30-40", "40-80")
                planPaths(TEST_ENGINE, zoneA, emptySet(), slow).single()
                    .layers() shouldContainExactly listOf("0-30", "30-80")
            }

            // Guards against requests that are rejected for seconds while a zone is repaired.
            it("have less capacity while a server loads more layers") {
                val loading = zoneA[0].withChangeInProgress(LayerChange(null, 40))
                    .copy(accelerator = "h100")
                val free = zoneA[0].copy(accelerator = "h100")
                val small = zoneA[1].copy(accelerator = "h100", weightLayers = 1)
                fun tokens(first: BackendServer) =
                    planPaths(TEST_ENGINE, listOf(first, small), emptySet()).single().capacityTokens
                tokens(loading) shouldBeLessThan tokens(free)
            }

            // Guards against first servers that hold layers and receive no requests.
            it("begin at each server of a zone that holds the first layers") {
                val other = server("a3", "a", 0, 30).copy(host = "10.0.1.1")
                val paths = planPaths(TEST_ENGINE, zoneA + other, emptySet())
                paths.map { it.first.instanceId }.toSet() shouldBe setOf("a1", "a3")
                paths.map { it.layers() }.toSet() shouldBe setOf(listOf("0-30", "30-80"))
                paths.map { it.id }.toSet().size shouldBe 2
            }

            it("do not exist while a layer is held by no server") {
                planPaths(TEST_ENGINE, listOf(zoneA[0]), emptySet()).shouldBeEmpty()
            }

            it("leave out draining servers") {
                val draining = zoneA[1].copy(state = ServerState.DRAINING)
                planPaths(TEST_ENGINE, listOf(zoneA[0], draining), emptySet()).shouldBeEmpty()
            }
        }
    })
