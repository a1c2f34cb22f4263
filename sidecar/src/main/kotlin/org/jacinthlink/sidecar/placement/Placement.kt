package org.jacinthlink.sidecar.placement

import org.jacinthlink.api.Holding
import org.jacinthlink.decision.placement.PlacementPolicy
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.events.EventLog

/** Changes the layers of the runner beside this sidecar when the policy asks for it. */
internal class Placement(
    private val home: Holding.Stage,
    private val policy: PlacementPolicy,
    private val claims: PlacementClaims,
    private val stage: MovableStage,
    private val stages: (FlowStage) -> List<FlowStage>,
    private val clock: Clock,
    private val events: EventLog
) {
    /** Decides once, and moves if that is due. */
    fun tick() {
        val self = stage.asFlowStage() ?: return
        val view = stages(self)
        val target = policy.decide(view, self, clock.nowMs()) ?: return
        if (claims.take(self, target, view)) move(self.holding, target)
    }

    private fun move(from: Holding.Stage, target: Holding.Stage) {
        events.record(
            "placement_changed",
            null,
            "model" to target.model,
            "from" to "${from.firstLayer}-${from.endLayer}",
            "to" to "${target.firstLayer}-${target.endLayer}"
        )
        stage.moveTo(target, if (target == home) RETURN_DRAIN_MS else GAP_DRAIN_MS)
    }

    companion object {
        const val INTERVAL_MS = 500L

        // No stream can proceed while the model has a gap.
        private const val GAP_DRAIN_MS = 200L

        // Streams that take longer continue on another runner of their layers.
        private const val RETURN_DRAIN_MS = 5_000L
    }
}
