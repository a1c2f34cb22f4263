package org.jacinthlink.router.relay

import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.paths.exponentialBackoff
import org.jacinthlink.decision.retry.MoveReason
import org.jacinthlink.decision.retry.StreamAttempts

/**
 * Decides whether a streamed request may start an attempt beside the one that is open.
 *
 * Load pattern: servers drain, are slow or fall silent while most others reject requests, so that
 * moves must neither repeat in vain nor use up the budget that lost streams need.
 */
internal class StreamMoves(
    private val context: RelayContext,
    private val request: RelayRequest,
    private val attempts: StreamAttempts,
    private val pathSelection: PathSelection
) {
    private val backoff = exponentialBackoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS)

    /** Records that a move has ended; [hasAnswered] is true if its successor answered in time. */
    fun ended(hasAnswered: Boolean, nowMs: Long) =
        if (hasAnswered) backoff.reset() else backoff.recordFailure(nowMs)

    /**
     * Why the stream stays on its [open] paths, the newest last, in spite of [reason], or null if
     * another path takes it.
     */
    fun obstacle(open: List<ServingPath>, reason: MoveReason, nowMs: Long): MoveObstacle? =
        when {
            !attempts.mayMove -> MoveObstacle.NO_ATTEMPTS_LEFT
            !backoff.allowsAttempt(nowMs) -> MoveObstacle.FAILED_BEFORE
            !hasBudget(reason, nowMs) -> MoveObstacle.RETRY_BUDGET
            context.contents.harmfulIn(request.content, nowMs) != null ->
                MoveObstacle.HARMFUL_CONTENT
            !hasPath(open, reason, nowMs) -> MoveObstacle.NO_PATH
            else -> null
        }

    private fun hasBudget(reason: MoveReason, nowMs: Long): Boolean =
        when (reason) {
            MoveReason.ServerSilent -> context.retryBudget.allowsRetry(nowMs)
            // The path works, so others may need the retry more.
            MoveReason.ServerLeaves, MoveReason.SlowToBegin ->
                context.retryBudget.allowsOptionalRetry(nowMs)
        }

    private fun hasPath(open: List<ServingPath>, reason: MoveReason, nowMs: Long): Boolean =
        when (reason) {
            MoveReason.ServerSilent -> pathSelection.successor(open, nowMs) != null
            MoveReason.ServerLeaves, MoveReason.SlowToBegin ->
                pathSelection.mayLeave(open) &&
                    pathSelection.hasAlternative(open.last(), nowMs) &&
                    pathSelection.successor(open, nowMs) != null
        }

    private companion object {
        const val MIN_BACKOFF_MS = 80L
        const val MAX_BACKOFF_MS = 640L
    }
}

/** Why a stream stays on its path. */
internal enum class MoveObstacle {
    /** The request may run only once, or its remaining runs are kept for lost servers. */
    NO_ATTEMPTS_LEFT,

    /** Another path has just rejected this stream, or failed it. */
    FAILED_BEFORE,

    /** The retry budget that all routers share is used up, or needed for lost streams. */
    RETRY_BUDGET,

    /** The request has a content that ends servers. */
    HARMFUL_CONTENT,

    /** Each other path has just rejected a request, or the request may not run on it. */
    NO_PATH
}
