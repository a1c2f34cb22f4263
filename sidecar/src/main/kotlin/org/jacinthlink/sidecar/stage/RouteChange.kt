package org.jacinthlink.sidecar.stage

import org.jacinthlink.decision.routing.FlowStage

/** Next step of a failover. */
internal sealed interface RouteChange {
    /** The route has no failed stage. */
    data object None : RouteChange

    data object Impossible : RouteChange

    /**
     * The first [informedStages] stages of [route] must learn the route.
     *
     * @property isLate True if the route keeps stages that have not answered.
     */
    data class Changed(
        val epoch: Int,
        val route: List<FlowStage>,
        val informedStages: Int,
        val isLate: Boolean = false
    ) : RouteChange
}
