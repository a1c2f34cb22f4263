package org.jacinthlink.decision.placement

import org.jacinthlink.api.Holding
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.flowPlan

/**
 * Decides when one engine changes its layers. It moves to fill a gap that persists, and returns to
 * the layers of its settings once it is dispensable where it is.
 *
 * @param home Layers in the settings of the engine.
 */
class PlacementPolicy(private val home: Holding.Stage, private val limits: PlacementLimits) {
    private val maxLayers = limits.maxLayers ?: (home.endLayer - home.firstLayer)

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
        val own = stages.filter { it.holding.model == home.model }
        val lowest = layerGaps(own, home.layerCount).firstOrNull()
        noteGap(lowest, nowMs)
        return if (lowest != null) fill(own, self, nowMs) else goHome(own, self, nowMs)
    }

    private fun noteGap(lowest: LayerGap?, nowMs: Long) {
        if (lowest == null) wasComplete = true
        if (lowest != gap) gapSinceMs = nowMs
        gap = lowest
    }

    private fun fill(own: List<FlowStage>, self: FlowStage, nowMs: Long): Holding.Stage? {
        dispensableSinceMs = null
        if (!wasComplete || nowMs - gapSinceMs < limits.gapMs) return null
        val moves = gapMoves(home.model, own) { stage ->
            if (stage.instance == self.instance) maxLayers else stage.layers
        }
        val rank = moves.indexOfFirst { it.instance == self.instance }
        val isDue = nowMs - gapSinceMs >= limits.gapMs + rank * limits.rankDelayMs
        return if (rank >= 0 && isDue) moves[rank].holding else null
    }

    private fun goHome(own: List<FlowStage>, self: FlowStage, nowMs: Long): Holding.Stage? {
        if (self.holding.isSameRangeAs(home) || !isDispensable(own, self)) {
            dispensableSinceMs = null
            return null
        }
        val sinceMs = dispensableSinceMs ?: nowMs.also { dispensableSinceMs = it }
        return if (nowMs - sinceMs >= limits.returnMs) home else null
    }

    private fun isDispensable(own: List<FlowStage>, self: FlowStage): Boolean {
        val others = own.filter { it.instance != self.instance }
        val present = flowPlan(home.model, own).boundTokensPerSecond
        val later = flowPlan(home.model, others + self.copy(holding = home)).boundTokensPerSecond
        return layerGaps(others, home.layerCount).isEmpty() && later >= present
    }
}

private val FlowStage.layers: Int get() = holding.endLayer - holding.firstLayer

private fun Holding.Stage.isSameRangeAs(other: Holding.Stage) =
    firstLayer == other.firstLayer && endLayer == other.endLayer
