package org.jacinthlink.decision.placement

import kotlinx.serialization.Serializable
import org.jacinthlink.api.InstanceId
import org.jacinthlink.decision.routing.FlowStage

/**
 * Record in the key-value service of the latest runner of a model that changed its layers to
 * [firstLayer] until [endLayer].
 *
 * @property expiresAtMs Time after which another runner may change its layers, whatever became of
 *   this one.
 */
@Serializable
data class PlacementClaim(
    val instance: InstanceId,
    val firstLayer: Int,
    val endLayer: Int,
    val expiresAtMs: Long
) {
    /**
     * True if [other] must wait, because it does not see the outcome of this change in [stages].
     * A runner that decides on an older view could leave layers that have just lost their other
     * runner.
     */
    fun excludes(other: InstanceId, stages: Collection<FlowStage>, nowMs: Long): Boolean =
        instance != other && nowMs < expiresAtMs && stages.none(::isOutcome)

    private fun isOutcome(stage: FlowStage): Boolean =
        stage.instance == instance &&
            stage.holding.firstLayer == firstLayer &&
            stage.holding.endLayer == endLayer
}
