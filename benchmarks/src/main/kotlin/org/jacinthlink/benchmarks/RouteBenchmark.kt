package org.jacinthlink.benchmarks

import org.jacinthlink.cli.measure.GeneratedFleet
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.RouteRotation
import org.jacinthlink.decision.routing.flowPlan
import org.jacinthlink.decision.routing.routeRotation
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.Setup

/** Choice of a route in the flow plan of one model, taken for each stream. */
open class RouteBenchmark : RoutingBenchmark() {
    private lateinit var ofHead: RouteRotation
    private lateinit var ofModel: RouteRotation

    @Setup
    fun plan() {
        val plan = flowPlan(GeneratedFleet.MODEL, GeneratedFleet.stages(runners, SEED))
        val busiest = plan.routes.groupBy { it.stages.first().instance }.maxBy { it.value.size }
        ofHead = routeRotation(plan, busiest.key)
        ofModel = routeRotation(plan)
    }

    /** Among the routes of the head that has the most, as a head decides. */
    @Benchmark
    fun atHead(): List<FlowStage>? = ofHead.next()

    /** Among all routes of the model, an upper bound for any head. */
    @Benchmark
    fun overAllRoutes(): List<FlowStage>? = ofModel.next()
}
