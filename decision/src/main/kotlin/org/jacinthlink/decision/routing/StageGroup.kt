package org.jacinthlink.decision.routing

import org.jacinthlink.api.Holding

/**
 * Either a group of interchangeable stages, which hold the same layers and have no limited links,
 * or a single stage that has a limited link.
 *
 * The flow of a group is divided among its members in proportion to their capacity, so that no
 * member is saturated while another one is idle.
 */
internal class StageGroup(val name: String, members: List<FlowStage>) {
    // Sorted by availability zone, so that the intervals of members in the same zone mostly overlap
    // between two groups, and most routes stay within a zone.
    private val members = members.sortedWith(
        compareBy({
            it.availabilityZone
        }, { it.instance.value })
    )

    val holding: Holding.Stage = members.first().holding
    val capacity: Double = members.sumOf { it.holding.tokensPerSecond }

    /** The only member; null if there are several. */
    val onlyMember: FlowStage? = members.singleOrNull()

    /**
     * Upper ends of the members' intervals. The group's flow is scaled to the range from 0 to 1,
     * and each member carries one interval of it. The length of an interval is the member's share
     * of the group's capacity.
     */
    val intervalEnds: List<Double> =
        this.members
            .runningFold(0.0) { end, stage -> end + stage.holding.tokensPerSecond / capacity }
            .drop(1)
            .dropLast(1) + 1.0

    /** Member whose interval contains [position], which is from 0 to below 1. */
    fun memberAt(position: Double): FlowStage = members[intervalEnds.indexOfFirst { position < it }]
}
