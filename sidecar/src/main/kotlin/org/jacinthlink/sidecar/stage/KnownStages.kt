package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.Holding
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.runtime.membership.Membership

/** [self] and all other stages that take new streams. */
internal fun Membership.stagesWith(self: FlowStage): List<FlowStage> {
    val others =
        instances()
            .map { it.description }
            .filter { it.ready && !it.draining && it.instance != self.instance }
            .mapNotNull { known ->
                (known.holding as? Holding.Stage)?.let {
                    FlowStage(known.instance, known.address, known.availabilityZone, it)
                }
            }
    return others + self
}
