package org.jacinthlink.decision.paths

/**
 * A path that may take a request, with its load.
 *
 * @property utilization Share of the path's capacity in use, including the request.
 * @property backlogShare Share of the capacity of the path's zone that waiting prompts count as.
 * @property slotUtilization Share of the slots of the first server in use.
 */
data class PathCandidate(
    val path: ServingPath,
    val utilization: Double,
    val backlogShare: Double,
    val slotUtilization: Double
)

/**
 * Returns the path for a request of a router in [ownZone], or null if there are no [candidates].
 *
 * Load pattern: all zones have capacity to spare, and each router sends two of three streams to
 * other zones, because their paths have a little more of it; the prompts and all events then pass
 * over links between zones, which are shared and have to be paid for. So a path of another zone is
 * taken only if its load is lower by a margin. When a zone is full, loses a server or receives more
 * than its share of the callers, its load exceeds the margin at once, and requests spread over all
 * zones as before.
 */
fun choosePath(candidates: List<PathCandidate>, ownZone: String): ServingPath? =
    candidates.filter { it.utilization <= MAX_UTILIZATION }.ifEmpty { candidates }
        .minWithOrNull(compareBy({ it.cost(ownZone) }, { it.slotUtilization }))
        ?.path

private fun PathCandidate.cost(ownZone: String): Double =
    utilization + backlogShare + if (path.home == ownZone) 0.0 else OTHER_ZONE_MARGIN

/**
 * Share of a path's capacity up to which requests are admitted. The rest is a reserve, because the
 * load by peers is known a little late.
 */
const val MAX_UTILIZATION: Double = 0.92

/** Difference in load, as a share of the capacity, that is worth sending a request elsewhere. */
private const val OTHER_ZONE_MARGIN = 0.08
