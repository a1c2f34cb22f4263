package org.jacinthlink.decision.routing

import org.jacinthlink.api.InstanceId
import org.jgrapht.alg.flow.DinicMFImpl
import org.jgrapht.graph.DefaultWeightedEdge
import org.jgrapht.graph.SimpleDirectedWeightedGraph

/** Graph of the stages of one model, solved for its maximum flow. */
internal class FlowNetwork(
    private val stages: List<FlowStage>,
    private val linkTokensPerSecond: Map<Pair<InstanceId, InstanceId>, Double>
) {
    private val graph =
        SimpleDirectedWeightedGraph<String, DefaultWeightedEdge>(DefaultWeightedEdge::class.java)
    private val byInput = stages.associateBy(::inputOf)

    /** Flow from the source to the sink, split into complete routes. */
    fun solve(): List<FlowRoute> {
        build()
        val flow = DinicMFImpl(graph, EPSILON).getMaximumFlow(SOURCE, SINK).flowMap
        val rest = HashMap(flow.filterValues { it > EPSILON })
        return generateSequence { takeRoute(rest) }.toList()
    }

    private fun build() {
        graph.addVertex(SOURCE)
        graph.addVertex(SINK)
        for (stage in stages) addStage(stage)
        val limited = linkTokensPerSecond.keys.map { it.first }.toSet()
        val inputsByLayer = stages.groupBy { it.holding.firstLayer }
        for (stage in stages.filterNot { it.holding.isLast }) {
            if (stage.instance in limited) {
                linkEach(stage, inputsByLayer[stage.holding.endLayer].orEmpty())
            } else {
                link(outputOf(stage), boundaryOf(stage.holding.endLayer), UNLIMITED)
            }
        }
    }

    private fun addStage(stage: FlowStage) {
        val boundary = boundaryOf(stage.holding.firstLayer)
        graph.addVertex(inputOf(stage))
        graph.addVertex(outputOf(stage))
        graph.addVertex(boundary)
        graph.addVertex(boundaryOf(stage.holding.endLayer))
        link(inputOf(stage), outputOf(stage), stage.holding.tokensPerSecond)
        link(boundary, inputOf(stage), UNLIMITED)
        if (stage.holding.isHead) link(SOURCE, inputOf(stage), UNLIMITED)
        if (stage.holding.isLast) link(outputOf(stage), SINK, UNLIMITED)
    }

    private fun linkEach(stage: FlowStage, successors: List<FlowStage>) =
        successors.forEach { next ->
            val capacity = linkTokensPerSecond[stage.instance to next.instance] ?: UNLIMITED
            link(outputOf(stage), inputOf(next), capacity)
        }

    private fun link(from: String, to: String, capacity: Double) {
        graph.setEdgeWeight(graph.addEdge(from, to), capacity.coerceAtLeast(0.0))
    }

    // The graph has no cycles, so following positive flow from the source always ends at the sink.
    private fun takeRoute(rest: MutableMap<DefaultWeightedEdge, Double>): FlowRoute? {
        val edges = ArrayList<DefaultWeightedEdge>()
        var vertex = SOURCE
        while (vertex != SINK) {
            val edge =
                graph.outgoingEdgesOf(vertex).filter {
                    it in rest
                }.maxByOrNull { rest.getValue(it) }
                    ?: return null
            edges += edge
            vertex = graph.getEdgeTarget(edge)
        }
        val amount = edges.minOf { rest.getValue(it) }
        for (edge in edges) {
            val left = rest.getValue(edge) - amount
            if (left > EPSILON) rest[edge] = left else rest -= edge
        }
        return FlowRoute(edges.mapNotNull { byInput[graph.getEdgeTarget(it)] }, amount)
    }

    // Stages without limited links meet in one vertex for each layer boundary, so that the number
    // of edges grows with the stages and not with their pairs.
    private fun boundaryOf(layer: Int) = "boundary:$layer"

    private fun inputOf(stage: FlowStage) = "in:${stage.instance.value}"

    private fun outputOf(stage: FlowStage) = "out:${stage.instance.value}"

    private companion object {
        const val SOURCE = "source"
        const val SINK = "sink"
        const val UNLIMITED = 1e12

        // Far below one token per second, and above the rounding of sums of capacities.
        const val EPSILON = 1e-6
    }
}
