package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId
import org.jacinthlink.decision.routing.FlowPlan
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.RouteRotation
import org.jacinthlink.decision.routing.flowPlan
import org.jacinthlink.decision.routing.routeRotation
import org.jacinthlink.runtime.membership.Membership

/**
 * Routes from this head over the stages in membership.
 *
 * Not safe for use by several threads, but for [invalidate].
 */
internal class RouteBook(
    private val self: FlowStage,
    private val membership: Membership,
    private val onStagesChanged: () -> Unit
) {
    @Volatile
    private var changed = true
    private var rotation: RouteRotation = routeRotation(plan(), self.instance)

    /** Has the plan computed again before its next use. */
    fun invalidate() {
        changed = true
    }

    /** Flow through this head, or its own speed while the flow does not use it. */
    fun ownTokensPerSecond(): Double {
        val flow = current().plan.flowOf(self.instance)
        return if (flow > 0) flow else self.holding.tokensPerSecond
    }

    /** Route for a new stream; null if the known stages do not hold all layers. */
    fun next(): List<FlowStage>? = current().next()

    /**
     * [route] with another stage for each one in [failed]; null if there is none. Of several
     * replacements, the one with the least streams for its speed is taken, so that the streams of a
     * failed stage spread over all of them.
     */
    fun replaceFailed(
        route: List<FlowStage>,
        failed: Set<InstanceId>,
        streamsOf: (InstanceId) -> Int
    ): List<FlowStage>? {
        val stages = current().plan.stages
        return route.map { stage ->
            if (stage.instance !in failed) {
                stage
            } else {
                stages
                    .filter { it.instance !in failed && it.instance != self.instance }
                    .filter { it.holding.isSameRange(stage.holding) }
                    .minByOrNull { (streamsOf(it.instance) + 1) / it.holding.tokensPerSecond }
                    ?: return null
            }
        }
    }

    private fun current(): RouteRotation {
        if (changed) {
            changed = false
            val former = rotation.plan.stages
            rotation = routeRotation(plan(), self.instance)
            if (rotation.plan.stages != former) onStagesChanged()
        }
        return rotation
    }

    private fun plan(): FlowPlan = flowPlan(self.holding.model, membership.stagesWith(self))
}

private fun Holding.Stage.isSameRange(other: Holding.Stage): Boolean =
    firstLayer == other.firstLayer && endLayer == other.endLayer
