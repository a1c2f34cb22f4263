package org.jacinthlink.decision.routing

import kotlin.random.Random
import org.jacinthlink.api.InstanceId

/**
 * Selects the head with the fewest requests of this entry in flight, and a random one among equal
 * heads.
 */
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
