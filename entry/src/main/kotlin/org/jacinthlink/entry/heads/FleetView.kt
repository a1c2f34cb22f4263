package org.jacinthlink.entry.heads

import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.Role
import org.jacinthlink.decision.routing.FlowPlan
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.HeadSubset
import org.jacinthlink.decision.routing.flowPlan
import org.jacinthlink.runtime.membership.KnownInstance

/** Models and their heads, derived from one state of the membership. */
internal class FleetView(
    private val instances: List<KnownInstance>,
    private val self: InstanceId,
    private val ownZone: String
) {
    /** Flow plan of each model. */
    val plans: Map<String, FlowPlan> =
        stages().groupBy { it.holding.model }.mapValues { (model, stages) ->
            flowPlan(model, stages)
        }

    private val heads: Map<String, List<FlowStage>> = plans.mapValues { headsOf(it.value) }

    /** Heads of [model] that this entry uses. */
    fun headsOf(model: String): List<FlowStage> = heads[model].orEmpty()

    // A head outside the flow serves only while the plan has no complete route at all.
    private fun headsOf(plan: FlowPlan): List<FlowStage> {
        val all = plan.stages.filter { it.holding.isHead }
        val useful = all.filter { plan.flowOf(it.instance) > 0 }.ifEmpty { all }
        val byInstance = useful.associateBy { it.instance }
        val size = HeadSubset.size(useful.size, entryCount())
        return HeadSubset
            .choose(self, ownZone, byInstance.mapValues { it.value.availabilityZone }, size)
            .map(byInstance::getValue)
    }

    private fun entryCount(): Int {
        val others =
            instances.count {
                it.description.role == Role.ENTRY && it.description.instance != self
            }
        return others + 1
    }

    private fun stages(): List<FlowStage> =
        instances.map { it.description }.filter { it.ready }.mapNotNull { described ->
            (described.holding as? Holding.Stage)?.let {
                FlowStage(described.instance, described.address, described.availabilityZone, it)
            }
        }
}
