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
        val inputsByLayer = stages.groupBy { it.holding.firstLayer }
        for (stage in stages) {
            graph.addVertex(inputOf(stage))
            graph.addVertex(outputOf(stage))
            link(inputOf(stage), outputOf(stage), stage.holding.tokensPerSecond)
            if (stage.holding.isHead) link(SOURCE, inputOf(stage), UNLIMITED)
            if (stage.holding.isLast) link(outputOf(stage), SINK, UNLIMITED)
        }
        for (stage in stages) {
            inputsByLayer[stage.holding.endLayer].orEmpty().forEach { next ->
                val capacity = linkTokensPerSecond[stage.instance to next.instance] ?: UNLIMITED
                link(outputOf(stage), inputOf(next), capacity)
            }
        }
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
