package org.jacinthlink.decision.routing

import kotlin.math.ceil
import org.jacinthlink.api.InstanceId

/** Chooses the heads of a model that one entry knows. */
object HeadSubset {
    /** Smallest subset: it leaves a choice of two when a head fails. */
    const val MIN_SIZE = 3

    // Entries that know each head on average. With fewer, the load of the heads differs by the
    // chance of the hash; in a small system each entry knows all heads.
    private const val ENTRIES_PER_HEAD = 16.0

    /** Size of the subset of each of [entryCount] entries over [headCount] heads. */
    fun size(headCount: Int, entryCount: Int): Int {
        val needed = ceil(headCount * ENTRIES_PER_HEAD / entryCount.coerceAtLeast(1)).toInt()
        return needed.coerceAtLeast(MIN_SIZE).coerceAtMost(headCount)
    }

    /**
     * The [size] heads of [owner], taken from each availability zone in turn, [ownZone] first.
     *
     * @param zones Availability zone of each head.
     */
    fun choose(
        owner: InstanceId,
        ownZone: String,
        zones: Map<InstanceId, String>,
        size: Int
    ): List<InstanceId> {
        val byZone =
            zones.keys.groupBy { zones.getValue(it) }.mapValues { (_, heads) ->
                RendezvousHash.rank(owner.value, heads)
            }
        val zoneOrder =
            RendezvousHash.rank(owner.value, byZone.keys.map(::InstanceId))
                .map { it.value }
                .sortedBy { it != ownZone }
        val rounds = byZone.values.maxOfOrNull { it.size } ?: 0
        return (0 until rounds)
            .flatMap { round -> zoneOrder.mapNotNull { byZone.getValue(it).getOrNull(round) } }
            .take(size)
    }
}
