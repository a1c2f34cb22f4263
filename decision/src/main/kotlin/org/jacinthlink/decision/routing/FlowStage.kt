package org.jacinthlink.decision.routing

import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId

/** A stage that can be part of a route. */
data class FlowStage(
    val instance: InstanceId,
    val address: String,
    val availabilityZone: String,
    val holding: Holding.Stage
)
