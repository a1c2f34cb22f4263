package org.jacinthlink.decision.routing

import org.jacinthlink.api.SchedulingPolicy
import org.jacinthlink.api.WorkspaceId

/**
 * [request] as the queue of a head sees it under [policy]. Requests of one class and workspace are
 * served in the order of their arrival.
 */
fun applyQueueDiscipline(policy: SchedulingPolicy, request: QueuedRequest): QueuedRequest =
    when (policy) {
        SchedulingPolicy.Targets -> request
        SchedulingPolicy.RoundRobin, SchedulingPolicy.LeastInFlight ->
            request.copy(workClass = FIRST_COME, workspace = WorkspaceId(FIRST_COME))
    }

private const val FIRST_COME = "first-come"
