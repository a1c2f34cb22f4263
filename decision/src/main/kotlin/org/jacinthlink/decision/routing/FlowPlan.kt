package org.jacinthlink.decision.routing

import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId

/**
 * Maximum flow of one model over its stages.
 *
 * @property stages All stages of the model.
 * @property routes Decomposition of the flow into complete routes.
 */
class FlowPlan internal constructor(
    val model: String,
    val stages: List<FlowStage>,
    val routes: List<FlowRoute>
) {
    /** Upper bound of the model's throughput. */
    val boundTokensPerSecond: Double = routes.sumOf { it.tokensPerSecond }

    private val flowByInstance: Map<InstanceId, Double> =
        routes
            .flatMap { route -> route.stages.map { it.instance to route.tokensPerSecond } }
            .groupBy({ it.first }, { it.second })
            .mapValues { it.value.sum() }

    /** Flow through [instance]; 0 if the plan does not use it. */
    fun flowOf(instance: InstanceId): Double = flowByInstance[instance] ?: 0.0

    /**
     * Stage that can replace [failed]: it holds the same layers, is not in [excluded], and has the
     * most unused capacity of such stages; null if there is none.
     */
    fun replacement(failed: FlowStage, excluded: Set<InstanceId>): FlowStage? =
        stages
            .filter { it.instance !in excluded && it.instance != failed.instance }
            .filter { it.holding.isSameRangeAs(failed.holding) }
            .maxByOrNull { it.holding.tokensPerSecond - flowOf(it.instance) }

    /**
     * Any complete route that avoids [excluded] and, if given, starts at [head]; null if there is
     * none. It is used when no route of the flow meets these conditions.
     */
    fun fallbackRoute(excluded: Set<InstanceId>, head: InstanceId? = null): List<FlowStage>? {
        val usable =
            stages
                .filter { it.instance !in excluded }
                .filter { head == null || !it.holding.isHead || it.instance == head }
                .sortedByDescending { it.holding.tokensPerSecond }
                .groupBy { it.holding.firstLayer }
        return completeRouteFrom(0, usable, HashSet())
    }

    private fun completeRouteFrom(
        layer: Int,
        usable: Map<Int, List<FlowStage>>,
        deadEnds: MutableSet<Int>
    ): List<FlowStage>? {
        for (stage in usable[layer].orEmpty()) {
            if (stage.holding.isLast) return listOf(stage)
            if (stage.holding.endLayer in deadEnds) continue
            completeRouteFrom(stage.holding.endLayer, usable, deadEnds)?.let {
                return listOf(stage) +
                    it
            }
        }
        deadEnds += layer
        return null
    }
}

/**
 * Computes the flow plan of [model] over those of [stages] that hold its layers.
 *
 * @param linkTokensPerSecond Capacity of the links from one instance to another; all other links
 *   are unlimited.
 */
fun flowPlan(
    model: String,
    stages: Collection<FlowStage>,
    linkTokensPerSecond: Map<Pair<InstanceId, InstanceId>, Double> = emptyMap()
): FlowPlan {
    val modelStages =
        stages
            .filter { it.holding.model == model && it.holding.firstLayer < it.holding.endLayer }
            .distinctBy { it.instance }
            .sortedBy { it.instance.value }
    return FlowPlan(model, modelStages, FlowNetwork(modelStages, linkTokensPerSecond).solve())
}

private fun Holding.Stage.isSameRangeAs(other: Holding.Stage) =
    firstLayer == other.firstLayer && endLayer == other.endLayer
