package org.jacinthlink.decision.routing

import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import org.jacinthlink.api.InstanceId

/** Takes the heads in turn. */
internal class RoundRobinHeadSelector : HeadSelector {
    private val turn = AtomicInteger()

    override fun choose(
        candidates: Collection<HeadCandidate>,
        excluded: Set<InstanceId>,
        nowMs: Long,
        random: Random
    ): HeadCandidate? {
        val usable =
            candidates.filter { it.instance !in excluded }.sortedBy { it.instance.value }
        return if (usable.isEmpty()) null else usable[turn.getAndIncrement().mod(usable.size)]
    }
}
