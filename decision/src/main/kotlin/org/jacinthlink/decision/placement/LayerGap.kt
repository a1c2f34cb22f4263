package org.jacinthlink.decision.placement

import org.jacinthlink.decision.routing.FlowStage

/** Layers [firstLayer] until [endLayer] (exclusive) that no stage holds. */
data class LayerGap(val firstLayer: Int, val endLayer: Int)

/** Gaps of a model with [layerCount] layers that [stages] leave, lowest first. */
fun layerGaps(stages: Collection<FlowStage>, layerCount: Int): List<LayerGap> {
    val held = stages.flatMap { it.holding.firstLayer until it.holding.endLayer }.toSet()
    val starts = (0 until layerCount).filter { it !in held && (it == 0 || it - 1 in held) }
    return starts.map { start ->
        LayerGap(start, (start until layerCount).firstOrNull { it in held } ?: layerCount)
    }
}
