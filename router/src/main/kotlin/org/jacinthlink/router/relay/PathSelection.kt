package org.jacinthlink.router.relay

import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.retry.AttemptBound
import org.jacinthlink.decision.retry.attemptBound

/**
 * Selects the paths of one request, from the paths of its service and the outcome of its earlier
 * attempts.
 *
 * @property tokens Memory that the request needs, in tokens.
 */
internal class PathSelection(
    private val context: RelayContext,
    private val request: RelayRequest,
    private val tokens: Long
) {
    private val bound = attemptBound(request.route.maxAttempts)

    /**
     * Servers whose responses to this request failed. A server that breaks all its responses looks
     * idle, so without this record all retries would go to it.
     */
    private val failedFirstServers = mutableSetOf<String>()

    /**
     * The path for the next attempt, or null if there is none now. One whose first server has
     * failed this request is used only if there is no other.
     */
    fun next(nowMs: Long, demand: PathDemand): ServingPath? =
        choose(nowMs, demand) { bound.allows(it) && it.first.address !in failedFirstServers }
            ?: choose(nowMs, demand) { bound.allows(it) }

    /**
     * The path for an attempt beside those over the [open] paths, or null if there is none now. It
     * begins at another server if possible.
     */
    fun successor(open: List<ServingPath>, nowMs: Long): ServingPath? {
        val openServers = open.map { it.first.address }
        val openIds = open.map { it.id }
        val nextBound = bound.ifInterruptedAt(openServers)
        val avoided = failedFirstServers + openServers
        return choose(nowMs, PathDemand.RESUMPTION) {
            nextBound.allows(it) && it.first.address !in avoided
        } ?: choose(nowMs, PathDemand.RESUMPTION) { nextBound.allows(it) && it.id !in openIds }
    }

    /** True if the request may move from the [open] paths to a server that has not run it. */
    fun mayLeave(open: List<ServingPath>): Boolean =
        bound.allowsMoveFrom(open.map { it.first.address })

    /** True if a path of another zone than that of [current] has capacity for the request. */
    fun hasAlternative(current: ServingPath, nowMs: Long): Boolean =
        context.paths.hasAlternative(
            request.service,
            context.failureDetector.failed,
            current.home,
            tokens,
            nowMs
        )

    /** Records that [attempt], of which the server may have run a part, has failed. */
    fun recordFailure(attempt: StreamAttempt) {
        val first = attempt.path.first.address
        val hasEnded = attempt.wasInterrupted || context.failureDetector.isUnresponsive(first)
        failedFirstServers.add(first)
        bound.recordAttempt(first, hasEnded)
    }

    private fun choose(
        nowMs: Long,
        demand: PathDemand,
        isAllowed: (ServingPath) -> Boolean
    ): ServingPath? {
        val failed = context.failureDetector.failed
        return context.paths.choose(request.service, failed, tokens, nowMs, demand, isAllowed)
    }

    private fun AttemptBound.allows(path: ServingPath): Boolean =
        allows(path.first.address) { context.failureDetector.hasEnded(it) }
}
