package org.jacinthlink.decision.routing

import kotlin.random.Random
import org.jacinthlink.api.InstanceId

/** Takes the head with the fewest requests of this entry in flight; equal ones by chance. */
internal object LeastInFlightHeadSelector : HeadSelector {
    override fun choose(
        candidates: Collection<HeadCandidate>,
        excluded: Set<InstanceId>,
        nowMs: Long,
        random: Random
    ): HeadCandidate? =
        candidates
            .filter { it.instance !in excluded }
            .shuffled(random)
            .minByOrNull { it.inFlight }
}
