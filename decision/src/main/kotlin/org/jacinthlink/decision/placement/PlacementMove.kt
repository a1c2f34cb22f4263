package org.jacinthlink.decision.placement

import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId

/** A change of the layers that the engine of [instance] holds. */
data class PlacementMove(val instance: InstanceId, val holding: Holding.Stage)
