package org.jacinthlink.decision.paths

/**
 * The load of requests on a path.
 *
 * @property tokens Memory of the requests, in tokens.
 * @property streams Number of requests.
 */
data class PathLoad(val tokens: Long, val streams: Int) {
    /** The sum of both loads. */
    operator fun plus(other: PathLoad): PathLoad =
        PathLoad(tokens + other.tokens, streams + other.streams)

    /** The load that is left without [other]. */
    operator fun minus(other: PathLoad): PathLoad =
        PathLoad(tokens - other.tokens, streams - other.streams)
}

/** The load of a path without requests. */
val NO_LOAD: PathLoad = PathLoad(0, 0)

/**
 * Share of this path's capacity that is in use when [next] is added; over 1 if it does not fit.
 *
 * Load patterns: a burst of short prompts, in which the slots of the first server are in use long
 * before the memory of the path is; and zones that all lack layers, so that the paths of several
 * zones pass through one server and fill it together. The paths of one zone share most of their
 * servers.
 *
 * @param paths All paths, including this one.
 * @param loadOf Load of a path, over all routers.
 */
fun ServingPath.utilization(
    next: PathLoad,
    paths: List<ServingPath>,
    loadOf: (PathId) -> PathLoad
): Double =
    maxOf(slotUtilization(next, paths, loadOf), parts.maxOf { it.utilization(next, paths, loadOf) })

/** Share of the slots of the first server that is in use when [next] is added. */
fun ServingPath.slotUtilization(
    next: PathLoad,
    paths: List<ServingPath>,
    loadOf: (PathId) -> PathLoad
): Double {
    val streams =
        paths.filter { it.first.address == first.address }.sumOf { loadOf(it.id).streams }
    return (streams + next.streams) / slots.coerceAtLeast(1).toDouble()
}

private fun PathPart.utilization(
    next: PathLoad,
    paths: List<ServingPath>,
    loadOf: (PathId) -> PathLoad
): Double {
    val taken = paths.sumOf { it.layersAt(server.address) * loadOf(it.id).tokens }
    return (taken + next.tokens * layers.size) / capacityTokenLayers.coerceAtLeast(1).toDouble()
}

/** Tokens that [paths] can run at once in requests of [usualTokens] each. */
fun usableTokens(paths: List<ServingPath>, usualTokens: Long): Long =
    paths.groupBy { it.home }.values.sumOf { own ->
        val byFirst = own.sumOf { minOf(it.parts.first().capacityTokens, it.slots * usualTokens) }
        minOf(byFirst, own.minOf { it.capacityBehindFirst() ?: byFirst })
    }

private fun ServingPath.capacityBehindFirst(): Long? =
    parts.drop(1).minOfOrNull { it.capacityTokens }
