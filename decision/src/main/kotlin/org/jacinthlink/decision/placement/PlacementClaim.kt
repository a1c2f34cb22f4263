package org.jacinthlink.decision.placement

import kotlinx.serialization.Serializable
import org.jacinthlink.api.InstanceId
import org.jacinthlink.decision.routing.FlowStage

/**
 * Record in the key-value service of the latest change of layers of a model: the engine of
 * [instance] changes its layers to [firstLayer] until [endLayer] (exclusive).
 *
 * @property expiresAtMs Time after which another engine may change its layers, whatever the outcome
 *   of this change.
 */
@Serializable
data class PlacementClaim(
    val instance: InstanceId,
    val firstLayer: Int,
    val endLayer: Int,
    val expiresAtMs: Long
) {
    /**
     * True if the engine of [other] must not change its layers yet, because its view of the model,
     * [stages], does not show the outcome of this change. With an outdated view, it could release
     * layers that no other engine holds any more.
     */
    fun excludes(other: InstanceId, stages: Collection<FlowStage>, nowMs: Long): Boolean =
        instance != other && nowMs < expiresAtMs && stages.none(::isOutcome)

    private fun isOutcome(stage: FlowStage): Boolean =
        stage.instance == instance &&
            stage.holding.firstLayer == firstLayer &&
            stage.holding.endLayer == endLayer
}
