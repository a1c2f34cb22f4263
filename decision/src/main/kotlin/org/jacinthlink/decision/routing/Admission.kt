package org.jacinthlink.decision.routing

import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.SchedulingPolicy

/**
 * Decides whether a request may enter a queue.
 *
 * A request is refused at once if the queue of its class has no capacity for it or if its expected
 * wait exceeds its remaining time, so that callers do not wait for requests that would time out in
 * the queue. Resumed requests are always admitted, and so are all requests under a baseline policy.
 */
class Admission internal constructor(
    private val limits: AdmissionLimits,
    policy: SchedulingPolicy
) {
    private val refusesEarly =
        when (policy) {
            SchedulingPolicy.Targets -> true
            SchedulingPolicy.RoundRobin, SchedulingPolicy.LeastInFlight -> false
        }

    /**
     * Decides on [request].
     *
     * @param rateTokensPerSecond Rate at which queued requests are served. It counts the same
     *   tokens as [QueuedRequest.costTokens].
     * @param serviceMs Expected time from the start of a request to its first token.
     */
    fun decide(
        queue: FairQueue,
        request: QueuedRequest,
        rateTokensPerSecond: Double,
        serviceMs: Double,
        nowMs: Long
    ): AdmissionDecision {
        if (request.resumed || !refusesEarly) return AdmissionDecision.Admitted
        val occupancy = queue.occupancy(request.workClass, request.workspace)
        if (!hasCapacity(occupancy, request)) {
            return AdmissionDecision.Refused(
                ResultCode.OVERLOADED,
                "${occupancy.classRequests} requests of class ${request.workClass} already wait",
                RETRY_AFTER_MS
            )
        }
        val waitMs = expectedWaitMs(queue, request, rateTokensPerSecond, serviceMs)
        val remainingMs = request.deadlineAtMs - nowMs
        if (waitMs <= remainingMs) return AdmissionDecision.Admitted
        return AdmissionDecision.Refused(
            ResultCode.DEADLINE_UNREACHABLE,
            "the expected wait of ${waitMs.toLong()} ms exceeds the remaining $remainingMs ms",
            (waitMs - remainingMs).coerceIn(RETRY_AFTER_MS.toDouble(), MAX_RETRY_AFTER_MS).toLong()
        )
    }

    /**
     * Expected time until the first token of a new request like [request], in ms. It is infinite
     * if tokens are queued ahead and [rateTokensPerSecond] is not positive.
     */
    fun expectedWaitMs(
        queue: FairQueue,
        request: QueuedRequest,
        rateTokensPerSecond: Double,
        serviceMs: Double
    ): Double {
        val tokensAhead = queue.tokensAhead(request.workClass, request.workspace)
        return when {
            tokensAhead == 0.0 -> serviceMs
            rateTokensPerSecond <= 0.0 -> Double.POSITIVE_INFINITY
            else -> tokensAhead * 1_000 / rateTokensPerSecond + serviceMs
        }
    }

    // A class without queued requests admits a request of any size. When a class is at its limit,
    // requests of a workspace that uses less than half of an even share are admitted up to twice
    // the limit, so that a few large workspaces cannot lock out the others.
    private fun hasCapacity(occupancy: QueueOccupancy, request: QueuedRequest): Boolean {
        val tokens = occupancy.classTokens + request.costTokens
        val isEmpty = occupancy.classRequests == 0
        val isWithinLimits =
            occupancy.classRequests < limits.maxClassRequests && tokens <= limits.maxClassTokens
        val isWithinTwiceLimits =
            occupancy.classRequests < 2 * limits.maxClassRequests &&
                tokens <= 2 * limits.maxClassTokens
        val evenShare = limits.maxClassRequests / (occupancy.activeWorkspaces + 1)
        return isEmpty ||
            isWithinLimits ||
            (isWithinTwiceLimits && 2 * occupancy.workspaceRequests < evenShare)
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
        const val MAX_RETRY_AFTER_MS = 30_000.0
    }
}

/** Creates the admission control for [limits] under [policy]. */
fun admission(
    limits: AdmissionLimits = AdmissionLimits(),
    policy: SchedulingPolicy = SchedulingPolicy.Targets
): Admission = Admission(limits, policy)
