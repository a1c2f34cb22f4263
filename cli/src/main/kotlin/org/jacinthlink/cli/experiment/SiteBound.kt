package org.jacinthlink.cli.experiment

import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId
import org.jacinthlink.cli.site.SitePlan
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.flowPlan

/** Upper bound of the positions per second of [plan], by its maximum flow, after [fault]. */
internal fun boundPositionsPerSecond(plan: SitePlan, fault: Fault? = null): Double {
    val left =
        stagesOf(plan).filter {
            when (fault) {
                null -> true
                is Fault.KilledStage -> it.instance.value != fault.name
                is Fault.LostZone -> it.availabilityZone != fault.zone
            }
        }
    return flowPlan(plan.pipelines.first().model, left).boundTokensPerSecond
}

private fun stagesOf(plan: SitePlan): List<FlowStage> {
    val layerCount = plan.pipelines.flatMap { it.stages }.maxOf { it.endLayer }
    return plan.pipelines.flatMapIndexed { index, pipeline ->
        pipeline.stages.mapIndexed { position, stage ->
            val holding =
                Holding.Stage(
                    pipeline.model,
                    stage.firstLayer,
                    stage.endLayer,
                    layerCount,
                    stage.tokensPerSecond
                )
            FlowStage(InstanceId("stage-$index-$position"), "", stage.zone, holding)
        }
    }
}
