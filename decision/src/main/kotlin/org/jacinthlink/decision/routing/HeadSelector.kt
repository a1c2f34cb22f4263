package org.jacinthlink.decision.routing

import kotlin.random.Random
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.SchedulingPolicy

/** Selects the head to which an entry sends a request. */
interface HeadSelector {
    /** Selects one of [candidates] that is not in [excluded]; null if there is none. */
    fun choose(
        candidates: Collection<HeadCandidate>,
        excluded: Set<InstanceId>,
        nowMs: Long,
        random: Random
    ): HeadCandidate?
}

/** Creates the selector of an entry in availability zone [ownZone] under [policy]. */
fun headSelector(policy: SchedulingPolicy, ownZone: String): HeadSelector =
    when (policy) {
        SchedulingPolicy.Targets -> powerOfChoicesHeadSelector(ownZone)
        SchedulingPolicy.RoundRobin -> RoundRobinHeadSelector()
        SchedulingPolicy.LeastInFlight -> LeastInFlightHeadSelector
    }
