package org.jacinthlink.decision.routing

import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import org.jacinthlink.api.InstanceId

/** Selects the heads in turn, in the order of their instance ids. */
internal class RoundRobinHeadSelector : HeadSelector {
    private val selectionCount = AtomicInteger()

    override fun choose(
        candidates: Collection<HeadCandidate>,
        excluded: Set<InstanceId>,
        nowMs: Long,
        random: Random
    ): HeadCandidate? {
        val usable =
            candidates.filter { it.instance !in excluded }.sortedBy { it.instance.value }
        return if (usable.isEmpty()) {
            null
        } else {
            usable[
                selectionCount.getAndIncrement().mod(
                    usable.size
                )
            ]
        }
    }
}
