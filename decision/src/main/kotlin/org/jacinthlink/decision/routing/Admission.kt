package org.jacinthlink.decision.routing

import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.SchedulingPolicy

/** Decides whether a request may wait, so that no caller waits for an answer in vain. */
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
     * @param rateTokensPerSecond Tokens, as counted by the queue, that are served each second.
     * @param serviceMs Time from the start of a request to its first token.
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
        if (!hasRoom(occupancy, request)) {
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

    /** Time until the first token of a new request like [request]. */
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

    // In a full class, a workspace below half of its even part still finds room, so that a few
    // large workspaces cannot lock out the others. Twice the limit is never exceeded.
    private fun hasRoom(occupancy: QueueOccupancy, request: QueuedRequest): Boolean {
        val tokens = occupancy.classTokens + request.costTokens
        val isEmpty = occupancy.classRequests == 0
        val isBelow =
            occupancy.classRequests < limits.maxClassRequests && tokens <= limits.maxClassTokens
        val isBelowTwice =
            occupancy.classRequests < 2 * limits.maxClassRequests &&
                tokens <= 2 * limits.maxClassTokens
        val evenPart = limits.maxClassRequests / (occupancy.activeWorkspaces + 1)
        return isEmpty || isBelow || (isBelowTwice && 2 * occupancy.workspaceRequests < evenPart)
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
        const val MAX_RETRY_AFTER_MS = 30_000.0
    }
}

/** Creates the admission rule for [limits] under [policy]. */
fun admission(
    limits: AdmissionLimits = AdmissionLimits(),
    policy: SchedulingPolicy = SchedulingPolicy.Targets
): Admission = Admission(limits, policy)
