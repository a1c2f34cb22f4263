package org.jacinthlink.decision.routing

import org.jacinthlink.api.InstanceId
import org.jgrapht.alg.flow.DinicMFImpl
import org.jgrapht.graph.DefaultWeightedEdge
import org.jgrapht.graph.SimpleDirectedWeightedGraph

/**
 * Flow network of the stages of one model.
 *
 * Its nodes are groups of interchangeable stages, so that its size does not grow with the number of
 * instances.
 */
internal class FlowNetwork(
    stages: List<FlowStage>,
    private val linkTokensPerSecond: Map<Pair<InstanceId, InstanceId>, Double>
) {
    private val graph =
        SimpleDirectedWeightedGraph<String, DefaultWeightedEdge>(DefaultWeightedEdge::class.java)
    private val limitedSources = linkTokensPerSecond.keys.map { it.first }.toSet()
    private val limitedInstances = limitedSources + linkTokensPerSecond.keys.map { it.second }
    private val groups =
        stages
            .filter { it.holding.tokensPerSecond > EPSILON }
            .groupBy(::groupNameOf)
            .map { (name, members) -> StageGroup(name, members) }
    private val groupByInput = groups.associateBy(::inputOf)

    /** Computes the maximum flow from the source to the sink and splits it into complete routes. */
    fun solve(): List<FlowRoute> {
        build()
        val flow = DinicMFImpl(graph, EPSILON).getMaximumFlow(SOURCE, SINK).flowMap
        val remainingFlow = HashMap(flow.filterValues { it > EPSILON })
        return generateSequence { takePath(remainingFlow) }
            .flatMap { (path, tokensPerSecond) -> routesOf(path, tokensPerSecond) }
            .toList()
    }

    private fun build() {
        graph.addVertex(SOURCE)
        graph.addVertex(SINK)
        for (group in groups) addGroup(group)
        val byFirstLayer = groups.groupBy { it.holding.firstLayer }
        for (group in groups.filterNot { it.holding.isLast }) {
            if (group.isLimitedSource()) {
                linkToSuccessors(group, byFirstLayer[group.holding.endLayer].orEmpty())
            } else {
                link(outputOf(group), boundaryOf(group.holding.endLayer), UNLIMITED)
            }
        }
    }

    private fun addGroup(group: StageGroup) {
        val boundary = boundaryOf(group.holding.firstLayer)
        graph.addVertex(inputOf(group))
        graph.addVertex(outputOf(group))
        graph.addVertex(boundary)
        graph.addVertex(boundaryOf(group.holding.endLayer))
        link(inputOf(group), outputOf(group), group.capacity)
        link(boundary, inputOf(group), UNLIMITED)
        if (group.holding.isHead) link(SOURCE, inputOf(group), UNLIMITED)
        if (group.holding.isLast) link(outputOf(group), SINK, UNLIMITED)
    }

    private fun linkToSuccessors(group: StageGroup, successors: List<StageGroup>) =
        successors.forEach { next ->
            val from = group.onlyMember?.instance
            val to = next.onlyMember?.instance
            val capacity =
                if (from == null || to == null) null else linkTokensPerSecond[from to to]
            link(outputOf(group), inputOf(next), capacity ?: UNLIMITED)
        }

    private fun link(from: String, to: String, capacity: Double) {
        graph.setEdgeWeight(graph.addEdge(from, to), capacity.coerceAtLeast(0.0))
    }

    // The graph has no cycles, so a path of edges with positive flow always leads from the source
    // to the sink.
    private fun takePath(
        remainingFlow: MutableMap<DefaultWeightedEdge, Double>
    ): Pair<List<StageGroup>, Double>? {
        val edges = ArrayList<DefaultWeightedEdge>()
        var vertex = SOURCE
        while (vertex != SINK) {
            val edge =
                graph.outgoingEdgesOf(vertex).filter {
                    it in remainingFlow
                }.maxByOrNull { remainingFlow.getValue(it) }
                    ?: return null
            edges += edge
            vertex = graph.getEdgeTarget(edge)
        }
        val amount = edges.minOf { remainingFlow.getValue(it) }
        for (edge in edges) {
            val left = remainingFlow.getValue(edge) - amount
            if (left > EPSILON) remainingFlow[edge] = left else remainingFlow -= edge
        }
        return edges.mapNotNull { groupByInput[graph.getEdgeTarget(it)] } to amount
    }

    // In each group of the path, every member carries an interval of the group's flow, which is
    // scaled to the range from 0 to 1. The ends of the intervals of all groups divide this range
    // into segments. Within a segment, each group has exactly one member, and these members form a
    // route.
    private fun routesOf(path: List<StageGroup>, tokensPerSecond: Double): List<FlowRoute> {
        val routes = ArrayList<FlowRoute>()
        var start = 0.0
        for (end in path.flatMap { it.intervalEnds }.sorted()) {
            if (end - start > MIN_SEGMENT_LENGTH) {
                val middle = (start + end) / 2
                routes +=
                    FlowRoute(path.map { it.memberAt(middle) }, (end - start) * tokensPerSecond)
                start = end
            }
        }
        return routes
    }

    private fun StageGroup.isLimitedSource(): Boolean =
        onlyMember?.let { it.instance in limitedSources } ?: false

    private fun groupNameOf(stage: FlowStage): String {
        val range = "${stage.holding.firstLayer}-${stage.holding.endLayer}"
        return if (stage.instance in limitedInstances) "$range:${stage.instance.value}" else range
    }

    // One vertex for each layer boundary connects the groups that end there to those that start
    // there. Only groups with limited outgoing links have edges to each of their successors.
    private fun boundaryOf(layer: Int) = "boundary:$layer"

    private fun inputOf(group: StageGroup) = "in:${group.name}"

    private fun outputOf(group: StageGroup) = "out:${group.name}"

    private companion object {
        const val SOURCE = "source"
        const val SINK = "sink"

        // Capacity of an edge without a limit, in tokens per second.
        const val UNLIMITED = 1e12

        // In tokens per second. Smaller flows and capacities count as zero. The value is far below
        // one, but above the rounding errors of sums of capacities.
        const val EPSILON = 1e-6

        // Segments up to this length result from rounding errors.
        const val MIN_SEGMENT_LENGTH = 1e-9
    }
}
