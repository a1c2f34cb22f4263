package org.jacinthlink.decision.placement

import org.jacinthlink.api.Holding
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.flowPlan

/**
 * Decides when one runner changes its layers: to fill a gap that stays, and to return once it is
 * dispensable.
 *
 * @param home Layers that the settings of the runner state.
 */
class PlacementPolicy(private val home: Holding.Stage, private val limits: PlacementLimits) {
    private val maxLayers = limits.maxLayers ?: (home.endLayer - home.firstLayer)

    // While a fleet starts, its layers have gaps that its other runners are about to fill.
    private var wasComplete = false
    private var gap: LayerGap? = null
    private var gapSinceMs = 0L
    private var dispensableSinceMs: Long? = null

    /**
     * Layers that [self] should hold now; null to stay.
     *
     * @param stages All stages of the model that are ready, [self] among them.
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
