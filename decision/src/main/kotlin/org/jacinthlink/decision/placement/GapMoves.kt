package org.jacinthlink.decision.placement

import org.jacinthlink.api.Holding
import org.jacinthlink.decision.routing.FlowStage

/**
 * Returns the moves that shrink the lowest gap of a model, best first. Each of them changes the
 * layers of one engine.
 *
 * An engine moves only if other stages hold all of its current layers. The best move leaves the
 * fewest layers without a stage. Among moves equal in this, the one with the largest maximum flow
 * afterwards is best. Among moves equal in both, the move of a head comes last, because it also
 * closes the request queue of the head. Equal inputs give equal results, so that all processes
 * compute the same order without exchanging messages.
 *
 * @param maxLayers Number of layers that fit into the memory of an engine.
 */
fun gapMoves(
    model: String,
    stages: Collection<FlowStage>,
    maxLayers: (FlowStage) -> Int
): List<PlacementMove> {
    val modelStages = stages.filter { it.holding.model == model }
    val layerCount = modelStages.maxOfOrNull { it.holding.layerCount } ?: return emptyList()
    val gaps = layerGaps(modelStages, layerCount)
    val gap = gaps.firstOrNull() ?: return emptyList()
    return modelStages
        .filter { layerGaps(modelStages - it, layerCount) == gaps }
        .map { ScoredMove(modelStages, it, movedToGap(it.holding, gap, maxLayers(it))) }
        .sortedWith(
            compareBy(
                { it.uncoveredLayerCount },
                { -it.flowTokensPerSecond },
                { it.stage.holding.isHead },
                { it.stage.instance.value }
            )
        )
        .map { PlacementMove(it.stage.instance, it.target) }
}

/**
 * The engine of [from] with layers [firstLayer] until [endLayer] (exclusive) instead. Its speed is
 * inversely proportional to the number of layers.
 */
internal fun withLayerRange(from: Holding.Stage, firstLayer: Int, endLayer: Int): Holding.Stage {
    val layerTokensPerSecond = from.tokensPerSecond * (from.endLayer - from.firstLayer)
    return from.copy(
        firstLayer = firstLayer,
        endLayer = endLayer,
        tokensPerSecond = layerTokensPerSecond / (endLayer - firstLayer)
    )
}

private fun movedToGap(from: Holding.Stage, gap: LayerGap, maxLayers: Int): Holding.Stage {
    val endLayer = minOf(gap.endLayer, gap.firstLayer + maxLayers)
    return withLayerRange(from, gap.firstLayer, endLayer)
}
