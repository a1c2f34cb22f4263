package org.jacinthlink.decision.routing

import org.jacinthlink.api.InstanceId

/**
 * Selects the routes of a [FlowPlan] by smooth weighted round robin, so that each stage receives
 * its share of the flow even over a few requests.
 *
 * Not thread-safe.
 *
 * @property head If given, only routes that start at this instance are used.
 */
class RouteRotation internal constructor(val plan: FlowPlan, val head: InstanceId?) {
    private val routes =
        plan.routes.filter { head == null || it.stages.first().instance == head }
    private val currentWeights = DoubleArray(routes.size)

    /** Next route that avoids [excluded]; null if the other stages form no complete route. */
    fun next(excluded: Set<InstanceId> = emptySet()): List<FlowStage>? {
        val usable =
            routes.indices.filter { index ->
                excluded.isEmpty() || routes[index].stages.none { it.instance in excluded }
            }
        if (usable.isEmpty()) return plan.fallbackRoute(excluded, head)
        usable.forEach { currentWeights[it] += routes[it].tokensPerSecond }
        val chosen = usable.maxBy { currentWeights[it] }
        currentWeights[chosen] -= usable.sumOf { routes[it].tokensPerSecond }
        return routes[chosen].stages
    }
}

/** Creates a rotation over the routes of [plan], or over those that start at [head]. */
fun routeRotation(plan: FlowPlan, head: InstanceId? = null): RouteRotation =
    RouteRotation(plan, head)
