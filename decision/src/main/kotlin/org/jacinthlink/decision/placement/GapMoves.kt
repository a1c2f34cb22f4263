package org.jacinthlink.decision.placement

import org.jacinthlink.api.Holding
import org.jacinthlink.decision.routing.FlowStage

/**
 * Moves of one runner each that shrink the lowest gap of a model, best first.
 *
 * A runner moves only if other stages hold all of its present layers. The best move leaves the
 * fewest layers without a stage and, among such moves, the largest maximum flow; a first stage
 * moves last, because its queue moves with it. Equal inputs give equal results, so that all
 * processes agree on the order without a message.
 *
 * @param maxLayers Layers that fit into the memory of a runner.
 */
fun gapMoves(
    model: String,
    stages: Collection<FlowStage>,
    maxLayers: (FlowStage) -> Int
): List<PlacementMove> {
    val own = stages.filter { it.holding.model == model }
    val layerCount = own.maxOfOrNull { it.holding.layerCount } ?: return emptyList()
    val gaps = layerGaps(own, layerCount)
    val gap = gaps.firstOrNull() ?: return emptyList()
    return own
        .filter { layerGaps(own - it, layerCount) == gaps }
        .map { ScoredMove(own, it, moved(it.holding, gap, maxLayers(it))) }
        .sortedWith(
            compareBy(
                { it.uncoveredLayers },
                { -it.flowTokensPerSecond },
                { it.stage.holding.isHead },
                { it.stage.instance.value }
            )
        )
        .map { PlacementMove(it.stage.instance, it.target) }
}

/** Range of layers of [from]'s runner at [firstLayer] until [endLayer], with its speed there. */
internal fun rescaled(from: Holding.Stage, firstLayer: Int, endLayer: Int): Holding.Stage {
    val layerTokensPerSecond = from.tokensPerSecond * (from.endLayer - from.firstLayer)
    return from.copy(
        firstLayer = firstLayer,
        endLayer = endLayer,
        tokensPerSecond = layerTokensPerSecond / (endLayer - firstLayer)
    )
}

private fun moved(from: Holding.Stage, gap: LayerGap, maxLayers: Int): Holding.Stage {
    val endLayer = minOf(gap.endLayer, gap.firstLayer + maxLayers)
    return rescaled(from, gap.firstLayer, endLayer)
}
