package org.jacinthlink.decision.placement

import org.jacinthlink.api.Holding
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.flowPlan

/**
 * The change of the layers of [stage] to [target], with its effect on the model.
 *
 * @param modelStages All stages of the model before the change.
 */
internal class ScoredMove(
    modelStages: List<FlowStage>,
    val stage: FlowStage,
    val target: Holding.Stage
) {
    private val changed = modelStages - stage + stage.copy(holding = target)

    /** Number of layers that no stage holds after the change. */
    val uncoveredLayerCount: Int =
        layerGaps(changed, target.layerCount).sumOf { it.endLayer - it.firstLayer }

    /**
     * Maximum flow after the change. It is computed on demand, because only moves with equal
     * [uncoveredLayerCount] are compared by it.
     */
    val flowTokensPerSecond: Double by lazy(LazyThreadSafetyMode.NONE) {
        flowPlan(target.model, changed).boundTokensPerSecond
    }
}
