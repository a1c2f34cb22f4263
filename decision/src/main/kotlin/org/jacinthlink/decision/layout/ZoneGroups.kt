package org.jacinthlink.decision.layout

/** Share of a group's memory that weights may use; the rest is for requests. */
private const val MAX_WEIGHT_SHARE = 0.8

/**
 * Groups servers so that each group can hold a complete copy of the model.
 *
 * On a path that crosses availability zones, each prompt adds to the load of the link that the
 * zones share, so a group is a single zone wherever a zone is large enough. Zones that are too
 * small form one group, or join the smallest of the large zones if they are too small together.
 *
 * @param modelMb Memory of all layers.
 */
internal fun zoneGroups(servers: List<LayoutServer>, modelMb: Double): List<List<LayoutServer>> {
    val (large, small) =
        servers.groupBy { it.zone }.toSortedMap().values.partition { it.holds(modelMb) }
    val rest = small.flatten()
    return when {
        rest.isEmpty() -> large
        rest.holds(modelMb) || large.isEmpty() -> large + listOf(rest)
        else -> {
            val smallest = large.minBy { it.memoryMb() }
            large.filter { it !== smallest } + listOf(smallest + rest)
        }
    }
}

private fun List<LayoutServer>.holds(modelMb: Double) = memoryMb() * MAX_WEIGHT_SHARE >= modelMb

private fun List<LayoutServer>.memoryMb() = sumOf { it.memoryMb }
