package org.jacinthlink.decision.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.math.abs
import kotlin.random.Random
import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId

class FlowPlanSpec :
    DescribeSpec({
        fun stage(id: String, first: Int, end: Int, speed: Double) =
            FlowStage(InstanceId(id), "127.0.0.1:1", "a", Holding.Stage("m", first, end, 4, speed))

        // Capacities are whole numbers, so that sums of them are exact.
        fun randomStages(random: Random, count: Int): List<FlowStage> =
            List(count) {
                val first = random.nextInt(4)
                stage(
                    "s$it",
                    first,
                    first + 1 + random.nextInt(4 - first),
                    1.0 + random.nextInt(99)
                )
            }

        fun List<FlowStage>.isComplete(): Boolean =
            first().holding.isHead &&
                last().holding.isLast &&
                zipWithNext().all { (a, b) -> a.holding.endLayer == b.holding.firstLayer }

        describe("a flow plan") {
            // Guards against routes that skip or repeat a layer, or that overload a stage.
            it("is the sum of complete routes within the capacity of each stage") {
                checkAll(300, Arb.long(), Arb.int(1..30)) {
                        seed,
                        count
                    ->
                    val plan = flowPlan("m", randomStages(Random(seed), count))
                    plan.routes.all { it.stages.isComplete() } shouldBe true
                    plan.routes.sumOf { it.tokensPerSecond } shouldBe
                        (plan.boundTokensPerSecond plusOrMinus 1e-6)
                    plan.stages.forEach {
                        plan.flowOf(it.instance) shouldBeLessThan
                            it.holding.tokensPerSecond + 1e-3
                    }
                }
            }
            // Guards against a plan below the maximum flow. The total capacity of each layer is an
            // upper bound, and the smallest one is reached if any two ranges are equal or disjoint.
            it("reaches the smallest capacity of a layer when the ranges are aligned") {
                checkAll(100, Arb.long(), Arb.int(1..20)) {
                        seed,
                        count
                    ->
                    val random = Random(seed)
                    val stages =
                        (0 until 4).flatMap { layer ->
                            List(count) {
                                stage("l$layer-$it", layer, layer + 1, 1.0 + random.nextInt(500))
                            }
                        }
                    val smallestCapacity =
                        stages.groupBy { it.holding.firstLayer }
                            .minOf { (_, layer) -> layer.sumOf { it.holding.tokensPerSecond } }
                    flowPlan("m", stages).boundTokensPerSecond shouldBe
                        (smallestCapacity plusOrMinus 1e-3)
                }
            }
            // Guards against a plan that saturates one stage while an interchangeable one is idle.
            it("loads interchangeable stages in proportion to their capacity") {
                checkAll(100, Arb.long(), Arb.int(1..20)) { seed, count ->
                    val random = Random(seed)
                    val stages =
                        (0 until 4).flatMap { layer ->
                            List(count) {
                                stage("l$layer-$it", layer, layer + 1, 1.0 + random.nextInt(500))
                            }
                        }
                    val plan = flowPlan("m", stages)
                    stages.groupBy { it.holding.firstLayer }.values.forEach { layer ->
                        val capacity = layer.sumOf { it.holding.tokensPerSecond }
                        layer.forEach {
                            val share = it.holding.tokensPerSecond / capacity
                            plan.flowOf(it.instance) shouldBe
                                (plan.boundTokensPerSecond * share plusOrMinus 1e-3)
                        }
                    }
                }
            }
            // Guards against a slow link that is planned as if it were unlimited.
            it("respects the capacity of links") {
                val stages = listOf(stage("a", 0, 2, 100.0), stage("b", 2, 4, 100.0))
                val links = mapOf((InstanceId("a") to InstanceId("b")) to 30.0)
                flowPlan("m", stages, links).boundTokensPerSecond shouldBe (30.0 plusOrMinus 1e-3)
            }
            // Guards against a failover to a stage with other layers or to the failed stage.
            it("replaces a stage by one with the same layers and the most unused capacity") {
                val stages =
                    listOf(
                        stage("a", 0, 4, 10.0),
                        stage("b", 0, 4, 50.0),
                        stage("c", 0, 2, 900.0)
                    )
                val plan = flowPlan("m", stages)
                plan.replacement(stages[0], emptySet())!!.instance.value shouldBe "b"
                plan.replacement(stages[0], setOf(InstanceId("b"))) shouldBe null
            }
        }

        describe("a rotation") {
            // Guards against routes that are not selected in proportion to their flow.
            it("selects each route in proportion to its flow") {
                checkAll(50, Arb.long(), Arb.int(4..20)) {
                        seed,
                        count
                    ->
                    val plan = flowPlan("m", randomStages(Random(seed), count))
                    val rotation = routeRotation(plan)
                    val selections = 2_000
                    val used = List(selections) { rotation.next() }.groupingBy { it }.eachCount()
                    plan.routes.groupBy { it.stages }.forEach { (stages, same) ->
                        val share = same.sumOf { it.tokensPerSecond } / plan.boundTokensPerSecond
                        abs((used[stages] ?: 0) - share * selections) shouldBeLessThan
                            plan.routes.size + 1.0
                    }
                }
            }
            // Guards against a route over a failed stage while a complete route without it exists.
            it("avoids excluded stages and finds a remaining complete route if there is one") {
                checkAll(300, Arb.long(), Arb.int(1..12)) {
                        seed,
                        count
                    ->
                    val random = Random(seed)
                    val stages = randomStages(random, count)
                    val excluded = stages.map {
                        it.instance
                    }.filter { random.nextBoolean() }.toSet()
                    val route = routeRotation(flowPlan("m", stages)).next(excluded)
                    val remaining = stages.filter { it.instance !in excluded }
                    (route != null) shouldBe (flowPlan("m", remaining).boundTokensPerSecond > 0)
                    route?.none { it.instance in excluded } shouldBe route?.let { true }
                    route?.isComplete() shouldBe route?.let { true }
                }
            }
            // Guards against a head that routes its streams over another head.
            it("starts at the given head, even if the flow does not use it") {
                val stages =
                    listOf(stage("a", 0, 2, 5.0), stage("b", 0, 2, 5.0), stage("c", 2, 4, 5.0))
                val plan = flowPlan("m", stages)
                stages.take(2).forEach { head ->
                    routeRotation(plan, head.instance).next()!!.first() shouldBe head
                }
            }
        }
    })
