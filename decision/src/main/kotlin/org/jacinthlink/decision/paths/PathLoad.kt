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
 * Share of the path that is taken when [next] is added to [present]; over 1 if it does not fit.
 *
 * Load pattern: a burst of short prompts. The first server takes a bounded number of requests, and
 * those beyond it wait there long before the memory of the path is full.
 */
fun ServingPath.shareTaken(present: PathLoad, next: PathLoad): Double {
    val sum = present + next
    return maxOf(
        sum.tokens / capacityTokens.coerceAtLeast(1).toDouble(),
        sum.streams / slots.coerceAtLeast(1).toDouble()
    )
}

/** Tokens of requests of [usualTokens] that the path can run at once. */
fun ServingPath.usableTokens(usualTokens: Long): Long =
    minOf(capacityTokens, slots * usualTokens)
