package org.jacinthlink.decision.routing

import kotlin.random.Random
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.SchedulingPolicy

/** Picks the head that takes a request. */
interface HeadSelector {
    /** Picks one of [candidates] not in [excluded]; null if there is none. */
    fun choose(
        candidates: Collection<HeadCandidate>,
        excluded: Set<InstanceId>,
        nowMs: Long,
        random: Random
    ): HeadCandidate?
}

/** Creates the selector of an entry in [ownZone] under [policy]. */
fun headSelector(policy: SchedulingPolicy, ownZone: String): HeadSelector =
    when (policy) {
        SchedulingPolicy.Targets -> powerOfChoicesHeadSelector(ownZone)
        SchedulingPolicy.RoundRobin -> RoundRobinHeadSelector()
        SchedulingPolicy.LeastInFlight -> LeastInFlightHeadSelector
    }
