package org.jacinthlink.decision.limits

/**
 * Limit on the requests of one workspace over all routers.
 *
 * @property requestsPerS Lasting rate of requests.
 * @property burst Requests beyond the rate that are admitted after a pause.
 */
data class WorkspaceQuota(val requestsPerS: Double, val burst: Int)

/** Whether a request is within the quota of its workspace. */
sealed interface QuotaDecision {
    /** The request may run. */
    data object Admitted : QuotaDecision

    /**
     * The request must not run.
     *
     * @property retryAfterMs Time until this router has the next token.
     * @property part Part of the rate that this router enforces at present.
     */
    data class Refused(val retryAfterMs: Long, val part: Double) : QuotaDecision
}

/** One start of a router. */
data class RouterStart(val instance: String, val startedAtMs: Long)

/**
 * Use of a quota at one router.
 *
 * @property arrivals Requests within the last [ServerRateLimits.WINDOW_MS], also refused ones.
 * @property admitted Requests admitted since [countedFromMs]. A running total, unlike a count of a
 *   window, tolerates lost, repeated and overtaken messages.
 * @property countedFromMs Time of the router's own clock; another value means a new total.
 */
data class WorkspaceUse(
    val workspace: String,
    val arrivals: Int,
    val admitted: Long,
    val countedFromMs: Long
)

/**
 * Latest use of the quotas by the other routers.
 *
 * @property uses Use by each router that was heard from recently, empty if it had no requests.
 * @property knownCount Number of other routers that may be running.
 */
data class PeerWorkspaceUse(val uses: Map<RouterStart, List<WorkspaceUse>>, val knownCount: Int)
