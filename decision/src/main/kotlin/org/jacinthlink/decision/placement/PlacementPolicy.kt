package org.jacinthlink.decision.placement

import org.jacinthlink.api.Holding
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.flowPlan

/**
 * Decides when one engine changes its layers. It moves to fill a gap that persists, and returns to
 * the layers of its settings once it is dispensable: the other engines hold all layers of the
 * model, and its return does not reduce the maximum flow.
 *
 * @param configured Layers in the settings of the engine.
 */
class PlacementPolicy(private val configured: Holding.Stage, private val limits: PlacementLimits) {
    private val maxLayers = limits.maxLayers ?: (configured.endLayer - configured.firstLayer)

    // No gap is filled until the model has been complete once, because the gaps of a starting fleet
    // are about to be filled by the engines that have not started yet.
    private var wasComplete = false
    private var gap: LayerGap? = null
    private var gapSinceMs = 0L
    private var dispensableSinceMs: Long? = null

    /**
     * Layers that [self] should change to now; null if it should keep its layers.
     *
     * @param stages All ready stages of the model, including [self].
     */
    fun decide(stages: Collection<FlowStage>, self: FlowStage, nowMs: Long): Holding.Stage? {
        if (!limits.enabled) return null
        val modelStages = stages.filter { it.holding.model == configured.model }
        val lowestGap = layerGaps(modelStages, configured.layerCount).firstOrNull()
        recordGap(lowestGap, nowMs)
        return if (lowestGap != null) {
            fillGap(modelStages, self, nowMs)
        } else {
            returnToConfigured(modelStages, self, nowMs)
        }
    }

    private fun recordGap(lowestGap: LayerGap?, nowMs: Long) {
        if (lowestGap == null) wasComplete = true
        if (lowestGap != gap) gapSinceMs = nowMs
        gap = lowestGap
    }

    private fun fillGap(
        modelStages: List<FlowStage>,
        self: FlowStage,
        nowMs: Long
    ): Holding.Stage? {
        dispensableSinceMs = null
        if (!wasComplete || nowMs - gapSinceMs < limits.gapMs) return null
        val moves = gapMoves(configured.model, modelStages) { stage ->
            if (stage.instance == self.instance) maxLayers else stage.layers
        }
        val rank = moves.indexOfFirst { it.instance == self.instance }
        val isDue = nowMs - gapSinceMs >= limits.gapMs + rank * limits.rankDelayMs
        return if (rank >= 0 && isDue) moves[rank].holding else null
    }

    private fun returnToConfigured(
        modelStages: List<FlowStage>,
        self: FlowStage,
        nowMs: Long
    ): Holding.Stage? {
        if (self.holding.isSameRangeAs(configured) || !isDispensable(modelStages, self)) {
            dispensableSinceMs = null
            return null
        }
        val sinceMs = dispensableSinceMs ?: nowMs.also { dispensableSinceMs = it }
        return if (nowMs - sinceMs >= limits.returnMs) configured else null
    }

    private fun isDispensable(modelStages: List<FlowStage>, self: FlowStage): Boolean {
        val others = modelStages.filter { it.instance != self.instance }
        val currentFlow = flowPlan(configured.model, modelStages).boundTokensPerSecond
        val flowAfterReturn =
            flowPlan(configured.model, others + self.copy(holding = configured))
                .boundTokensPerSecond
        return layerGaps(others, configured.layerCount).isEmpty() && flowAfterReturn >= currentFlow
    }
}

private val FlowStage.layers: Int get() = holding.endLayer - holding.firstLayer

private fun Holding.Stage.isSameRangeAs(other: Holding.Stage) =
    firstLayer == other.firstLayer && endLayer == other.endLayer
