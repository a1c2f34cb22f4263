package org.jacinthlink.processtests

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.jacinthlink.api.Headers
import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.cli.site.LocalSite
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.peerClient

class PlacementSpec :
    DescribeSpec({
        val fleet = ProcessSite().start()
        val client = peerClient { mapOf(Headers.PEER_TOKEN to LocalSite.PEER_TOKEN) }
        afterSpec {
            fleet.close()
            client.close()
        }

        fun get(name: String, path: String): String {
            val call = PeerCall("GET", "http://${fleet.process(name).address}$path")
            return (client.call(call, 2_000) as PeerResult.Answered).body
        }

        fun describe(name: String): InstanceDescription =
            ProtocolJson.decodeFromString(
                InstanceDescription.serializer(),
                get(name, "/v1/describe")
            )

        fun firstLayerOf(name: String): Int =
            (describe(name).holding as Holding.Stage).firstLayer

        fun knownInstances(name: String): Int =
            get(name, "/metrics").lineSequence()
                .first { it.startsWith("jacinthlink_membership_instances ") }
                .substringAfter(' ').toDouble().toInt()

        /** A runner moves only if it has seen the model complete once. */
        fun awaitCompleteModel() {
            val stages = fleet.site.stages.map { it.name }
            val others = stages.size - 1 + fleet.site.services.size
            eventually("all runners know each other", 20_000) {
                stages.all { describe(it).ready && knownInstances(it) >= others }
            }
            // Longest time to the next description of each runner and the next decision.
            Thread.sleep(3_000)
        }

        describe("layers that lost all their runners") {
            val middle = fleet.site.stages.filter { it.holding.firstLayer == 4 }
            val lasts = fleet.site.stages.filter { it.holding.isLast }.map { it.name }

            // Guards against a model without service while runners of other layers are to spare.
            it("are taken over within 5 s, and the streams of that moment end whole") {
                awaitCompleteModel()
                val question = Question("placement", maxTokens = 150, workClass = "summary")
                val answer = fleet.caller().stream(question)
                answer.awaitTokens(10)
                middle.forEach { fleet.process(it.name).kill() }
                val killedAtMs = System.currentTimeMillis()
                answer.await(40_000)
                withClue(answer.error) {
                    answer.tokens.toList() shouldContainExactly expectedAnswer(question)
                }
                val resumedAtMs = answer.arrivedAtMs.first { it - killedAtMs > 1_000 }
                println("placement_resumed_ms=${resumedAtMs - killedAtMs}")
                resumedAtMs - killedAtMs shouldBeLessThan 5_000
                lasts.count { firstLayerOf(it) == 4 } shouldBe 1
                fleet.site.stages.sumOf { it.engine.orderViolations } shouldBe 0
            }
            // Guards against a fleet that keeps the shape of its last failure.
            it("are left again once their runners are back, without a break of service") {
                middle.forEach { fleet.site.restartSidecar(it.settings) }
                middle.forEach { fleet.process(it.name).awaitHealthy() }
                eventually("all runners hold their own layers", 40_000) {
                    val answer = fleet.caller().chat(Question("served", maxTokens = 5))
                    check(answer is PeerResult.Answered && answer.isSuccess) { "$answer" }
                    lasts.all { firstLayerOf(it) == 8 }
                }
            }
        }
    })
