package org.jacinthlink.decision.paths

/**
 * What requests take of a path, over all routers.
 *
 * @property tokens Memory of the requests.
 * @property streams Number of requests.
 */
data class PathLoad(val tokens: Long, val streams: Int) {
    /** The sum of both. */
    operator fun plus(other: PathLoad): PathLoad =
        PathLoad(tokens + other.tokens, streams + other.streams)

    /** What is left without [other]. */
    operator fun minus(other: PathLoad): PathLoad =
        PathLoad(tokens - other.tokens, streams - other.streams)
}

/** A path without requests. */
val NO_LOAD: PathLoad = PathLoad(0, 0)

/**
 * Share of this path that is taken when [next] is added to it; over 1 if it does not fit.
 *
 * Load patterns: a burst of short prompts, in which the slots of the first server are taken long
 * before the memory of the path; and zones that all lack layers, so that the paths of several zones
 * pass through one server and fill it together. Paths of one zone share most of their servers.
 *
 * @param paths All paths, this one included.
 * @param loadOf What requests take of a path.
 */
fun ServingPath.utilization(
    next: PathLoad,
    paths: List<ServingPath>,
    loadOf: (PathId) -> PathLoad
): Double =
    maxOf(slotUtilization(next, paths, loadOf), parts.maxOf { it.utilization(next, paths, loadOf) })

/** Share of the requests that the first server takes at once, when [next] is added to it. */
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
    return (taken + next.tokens * layers.size) / roomTokenLayers.coerceAtLeast(1).toDouble()
}

/** Tokens of requests of [usualTokens] that [paths] can run at once. */
fun usableTokens(paths: List<ServingPath>, usualTokens: Long): Long =
    paths.groupBy { it.home }.values.sumOf { own ->
        val byFirst = own.sumOf { minOf(it.parts.first().roomTokens, it.slots * usualTokens) }
        minOf(byFirst, own.minOf { it.roomBehindFirst() ?: byFirst })
    }

private fun ServingPath.roomBehindFirst(): Long? = parts.drop(1).minOfOrNull { it.roomTokens }
