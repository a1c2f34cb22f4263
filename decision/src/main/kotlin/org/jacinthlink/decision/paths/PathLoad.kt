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
 * pass through one server and fill it together.
 *
 * @param paths All paths, this one included.
 * @param loadOf What requests take of the path of a zone.
 */
fun ServingPath.shareTaken(
    next: PathLoad,
    paths: List<ServingPath>,
    loadOf: (home: String) -> PathLoad
): Double {
    val streams =
        paths.filter { it.first.address == first.address }.sumOf { loadOf(it.home).streams }
    val bySlots = (streams + next.streams) / slots.coerceAtLeast(1).toDouble()
    return maxOf(bySlots, parts.maxOf { it.shareTaken(next, paths, loadOf) })
}

private fun PathPart.shareTaken(
    next: PathLoad,
    paths: List<ServingPath>,
    loadOf: (home: String) -> PathLoad
): Double {
    val taken = paths.sumOf { it.layersAt(server.address) * loadOf(it.home).tokens }
    return (taken + next.tokens * layers.size) / roomTokenLayers.coerceAtLeast(1).toDouble()
}

/** Tokens of requests of [usualTokens] that the path can run at once. */
fun ServingPath.usableTokens(usualTokens: Long): Long =
    minOf(capacityTokens, slots * usualTokens)
