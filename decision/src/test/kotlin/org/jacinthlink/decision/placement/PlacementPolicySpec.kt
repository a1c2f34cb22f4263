package org.jacinthlink.decision.placement

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.random.Random
import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.flowPlan

private const val LAYERS = 12

private fun stage(name: String, first: Int, end: Int, tokensPerSecond: Double = 100.0) =
    FlowStage(
        InstanceId(name),
        "$name:1",
        "z",
        Holding.Stage("m", first, end, LAYERS, tokensPerSecond)
    )

private val fleet =
    listOf(
        stage("a0", 0, 4, 300.0),
        stage("a1", 4, 8, 300.0),
        stage("a2", 8, 12, 300.0),
        stage("b0", 0, 4),
        stage("b1", 4, 8, 300.0),
        stage("b2", 8, 12)
    )

private val withoutMiddle = fleet.filter { it.holding.firstLayer != 4 }

private fun policy(self: FlowStage, limits: PlacementLimits = PlacementLimits()) =
    PlacementPolicy(self.holding, limits).apply { decide(fleet, self, 0) }

private fun PlacementPolicy.decideFrom(self: FlowStage, vararg timesMs: Long) =
    timesMs.map { decide(withoutMiddle, self, it) }

class PlacementPolicySpec :
    DescribeSpec({
        val last = fleet.single { it.instance.value == "a2" }

        describe("layers without a stage") {
            // Guards against a model that stays unavailable although there are dispensable engines.
            it("are loaded by the engine whose move gives the largest flow, if the gap persists") {
                policy(last).decideFrom(last, 100, 1_099, 1_100).map { it?.firstLayer } shouldBe
                    listOf(null, null, 4)
            }
            // Guards against two engines that release their layers for the same gap.
            it("are left to the better candidate, and loaded if that one does not move") {
                val other = fleet.single { it.instance.value == "b2" }
                policy(other).decideFrom(other, 100, 1_100, 2_100).map { it?.firstLayer } shouldBe
                    listOf(null, null, 4)
            }
            // Guards against moves while a fleet is starting.
            it("are not loaded before the model was complete once") {
                val starting = PlacementPolicy(last.holding, PlacementLimits())
                starting.decideFrom(last, 0, 60_000) shouldBe listOf(null, null)
            }
            it("are not loaded by an engine whose placement is disabled") {
                policy(last, PlacementLimits(enabled = false))
                    .decideFrom(last, 100, 60_000) shouldBe listOf(null, null)
            }
        }

        describe("an engine that moved") {
            val moved = last.copy(holding = withLayerRange(last.holding, 4, 8))
            val policy = policy(last)

            // Guards against an engine that moves back and forth, and one that never moves back.
            it("returns to its configured layers once it is dispensable") {
                val needed = withoutMiddle - last + moved
                policy.decide(needed, moved, 10_000) shouldBe null
                policy.decide(needed, moved, 90_000) shouldBe null
                val restored = fleet - last + moved
                policy.decide(restored, moved, 100_000) shouldBe null
                policy.decide(restored, moved, 109_999) shouldBe null
                policy.decide(restored, moved, 110_000) shouldBe last.holding
            }
        }

        describe("the placement claim of an engine that moves") {
            val claim = PlacementClaim(last.instance, 4, 8, expiresAtMs = 1_000)
            val other = InstanceId("b2")

            // Guards against two engines that release the same layers one after the other.
            it("keeps other engines from moving until its outcome is visible or it expires") {
                claim.excludes(other, fleet, 999) shouldBe true
                val outcome = fleet - last + last.copy(holding = withLayerRange(last.holding, 4, 8))
                claim.excludes(other, outcome, 999) shouldBe false
                claim.excludes(other, fleet, 1_000) shouldBe false
                claim.excludes(last.instance, fleet, 999) shouldBe false
            }
        }

        describe("a fleet that lost some of its engines") {
            // Guards against a move that opens another gap or reduces the flow.
            it("gets moves that cover more layers, until no gap can be filled") {
                checkAll(500, Arb.int()) { seed ->
                    val random = Random(seed)
                    var stages = randomFleet(random)
                    repeat(LAYERS) {
                        val before = layerGaps(stages, LAYERS)
                        val flow = flowPlan("m", stages).boundTokensPerSecond
                        val move =
                            gapMoves("m", stages) { 4 }.firstOrNull() ?: return@repeat
                        stages =
                            stages.map {
                                if (it.instance ==
                                    move.instance
                                ) {
                                    it.applying(move)
                                } else {
                                    it
                                }
                            }
                        val covered = before.flatMap { it.firstLayer until it.endLayer } -
                            layerGaps(stages, LAYERS)
                                .flatMap { it.firstLayer until it.endLayer }.toSet()
                        covered.isEmpty() shouldBe false
                        flowPlan("m", stages).boundTokensPerSecond shouldBeGreaterThanOrEqual flow
                    }
                    val dispensable = stages.filter { layerGaps(stages - it, LAYERS).isEmpty() }
                    if (layerGaps(stages, LAYERS).isNotEmpty()) dispensable.shouldBeEmpty()
                }
            }
        }
    })

private fun FlowStage.applying(move: PlacementMove) = copy(holding = move.holding)

private fun randomFleet(random: Random): List<FlowStage> =
    (0 until 12).mapNotNull { index ->
        val first = (index % 3) * 4
        stage("r$index", first, first + 4, random.nextDouble(10.0, 500.0))
            .takeIf { random.nextInt(3) > 0 }
    }
