package org.jacinthlink.decision.routing

import org.jacinthlink.api.SchedulingPolicy
import org.jacinthlink.api.WorkspaceId

/**
 * Returns [request] as it enters the queue of a head under [policy]. A baseline policy puts all
 * requests into one class and one workspace, which the queue serves in the order of arrival.
 */
fun applyQueueDiscipline(policy: SchedulingPolicy, request: QueuedRequest): QueuedRequest =
    when (policy) {
        SchedulingPolicy.Targets -> request
        SchedulingPolicy.RoundRobin, SchedulingPolicy.LeastInFlight ->
            request.copy(workClass = FIRST_COME, workspace = WorkspaceId(FIRST_COME))
    }

private const val FIRST_COME = "first-come"
