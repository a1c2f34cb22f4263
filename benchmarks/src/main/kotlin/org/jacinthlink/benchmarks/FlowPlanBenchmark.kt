package org.jacinthlink.benchmarks

import org.jacinthlink.cli.measure.GeneratedFleet
import org.jacinthlink.decision.routing.FlowPlan
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.flowPlan
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.Setup

/**
 * Computation of the flow plan of one model with [runners] runners. It follows a change of the
 * membership and is not part of a decision, so the target of a decision does not apply to it.
 */
open class FlowPlanBenchmark : RoutingBenchmark() {
    private lateinit var stages: List<FlowStage>

    @Setup
    fun generate() {
        stages = GeneratedFleet.stages(runners, SEED)
    }

    @Benchmark
    fun compute(): FlowPlan = flowPlan(GeneratedFleet.MODEL, stages)
}
