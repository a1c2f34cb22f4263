package org.jacinthlink.decision.routing

import kotlin.math.ceil
import org.jacinthlink.api.InstanceId

/** Selects the subset of the heads of a model that one entry uses. */
object HeadSubset {
    /** Minimum size of a subset, so that two heads remain to choose from when one fails. */
    const val MIN_SIZE = 3

    // Minimum of the average number of entries that use a head. With fewer entries for each head,
    // random differences of the hash make the load of the heads uneven. In a system with fewer
    // entries than this, each entry uses all heads.
    private const val ENTRIES_PER_HEAD = 16.0

    /** Size of the subset of each of [entryCount] entries if a model has [headCount] heads. */
    fun size(headCount: Int, entryCount: Int): Int {
        val needed = ceil(headCount * ENTRIES_PER_HEAD / entryCount.coerceAtLeast(1)).toInt()
        return needed.coerceAtLeast(MIN_SIZE).coerceAtMost(headCount)
    }

    /**
     * Selects up to [size] heads for [entry]. They are taken from the availability zones in turn,
     * starting with [ownZone].
     *
     * @param zones Availability zone of each head.
     */
    fun choose(
        entry: InstanceId,
        ownZone: String,
        zones: Map<InstanceId, String>,
        size: Int
    ): List<InstanceId> {
        val byZone =
            zones.keys.groupBy { zones.getValue(it) }.mapValues { (_, heads) ->
                RendezvousHash.rank(entry.value, heads)
            }
        val zoneOrder =
            RendezvousHash.rank(entry.value, byZone.keys.map(::InstanceId))
                .map { it.value }
                .sortedBy { it != ownZone }
        val rounds = byZone.values.maxOfOrNull { it.size } ?: 0
        return (0 until rounds)
            .flatMap { round -> zoneOrder.mapNotNull { byZone.getValue(it).getOrNull(round) } }
            .take(size)
    }
}
