package org.jacinthlink.decision.routing

import org.jacinthlink.api.Holding

/**
 * Interchangeable stages: they hold the same layers, and none of their links is limited.
 *
 * Each member carries the part of the group's flow that its capacity is of the group's, so that no
 * member is saturated while another one idles.
 */
internal class StageGroup(val name: String, members: List<FlowStage>) {
    // In the order of zones, the parts of two groups in the same zone mostly meet.
    private val members = members.sortedWith(
        compareBy({
            it.availabilityZone
        }, { it.instance.value })
    )

    val holding: Holding.Stage = members.first().holding
    val capacity: Double = members.sumOf { it.holding.tokensPerSecond }

    /** The only member, as of a group with limited links. */
    val single: FlowStage? = members.singleOrNull()

    /** Ends of the members' parts of the group's flow, which goes from 0 to 1. */
    val ends: List<Double> =
        this.members
            .runningFold(0.0) { end, stage -> end + stage.holding.tokensPerSecond / capacity }
            .drop(1)
            .dropLast(1) + 1.0

    /** Member whose part holds [position]. */
    fun at(position: Double): FlowStage = members[ends.indexOfFirst { position < it }]
}
