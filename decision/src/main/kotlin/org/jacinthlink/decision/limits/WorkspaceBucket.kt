package org.jacinthlink.decision.limits

import org.jacinthlink.decision.retry.budgetPart

/**
 * Token bucket of one workspace at one router.
 *
 * Load patterns: a workspace floods all routers, or a single one; its requests are few and spread
 * over many routers, so that the part of each router is less than one request.
 *
 * A request takes a token of two buckets. The shared bucket estimates what is left for all routers:
 * it fills at the whole rate, and the requests that peers have admitted are taken from it when they
 * are reported, if need be below zero. The own bucket fills at this router's part of the rate. It
 * bounds what is admitted before the peers learn of it, and holds one token at least, because a
 * router with a small part could otherwise admit nothing.
 *
 * @param startedAtMs Time since which the quota applies at this router.
 * @param countedFromMs Time at which the count of admitted requests starts.
 */
internal class WorkspaceBucket(
    private var quota: WorkspaceQuota,
    private val startedAtMs: Long,
    private val countedFromMs: Long
) {
    private var ownTokens = quota.burst * START_FRACTION
    private var sharedTokens = quota.burst * START_FRACTION
    private var filledAtMs = startedAtMs
    private var dividedAtMs = startedAtMs
    private val arrivedAtMs = ArrayDeque<Long>()
    private var admitted = 0L
    private val reported = HashMap<PeerTotal, ReportedTotal>()
    private var peerArrivals = 0L

    /** Applies [newQuota] from [nowMs] on; the tokens stay as far as the new burst allows. */
    fun replaceQuota(newQuota: WorkspaceQuota, peers: PeerCount, nowMs: Long) {
        fill(peers, nowMs)
        quota = newQuota
    }

    /** Decides on a request, and takes its token if it is admitted. */
    fun decide(peers: PeerCount, nowMs: Long): QuotaDecision {
        fill(peers, nowMs)
        arrivedAtMs.addLast(nowMs)
        if (minOf(ownTokens, sharedTokens) >= 1 - TOKEN_TOLERANCE) {
            ownTokens--
            sharedTokens--
            admitted++
            return QuotaDecision.Admitted
        }
        // The part follows the latest arrivals before the next token of a small part would come.
        val nextPart = part(arrivalCount(nowMs), peers)
        val ownMs = (1 - ownTokens) / (quota.requestsPerS * nextPart) * MS_PER_S
        val sharedMs = (1 - sharedTokens) / quota.requestsPerS * MS_PER_S
        val waitMs = maxOf(ownMs, sharedMs).coerceIn(1.0, MAX_WAIT_MS)
        return QuotaDecision.Refused(waitMs.toLong(), part(peers, nowMs))
    }

    /** Use of the quota at this router. */
    fun use(workspace: String, nowMs: Long): WorkspaceUse =
        WorkspaceUse(workspace, arrivalCount(nowMs), admitted, countedFromMs)

    /** Takes over the latest [uses] of the peers that were heard from. */
    fun updatePeers(uses: Map<RouterStart, WorkspaceUse>, peers: PeerCount, nowMs: Long) {
        fill(peers, nowMs)
        peerArrivals = uses.values.sumOf { it.arrivals.toLong() }
        uses.forEach { (peer, use) -> recordUse(peer, use, nowMs) }
        reported.values.removeIf { nowMs - it.atMs > TOTAL_RETENTION_MS }
        if (nowMs - dividedAtMs < REPORT_MS) return
        // Lets a router use the burst if all requests arrive at it.
        val part = part(peers, nowMs)
        ownTokens = maxOf(ownTokens, minOf(sharedTokens * part, ownLimit(part)))
        dividedAtMs = nowMs
    }

    /** True if a new bucket with the same start would have the same tokens. */
    fun isUnused(peers: PeerCount, nowMs: Long): Boolean {
        fill(peers, nowMs)
        return arrivedAtMs.isEmpty() &&
            peerArrivals == 0L &&
            reported.isEmpty() &&
            sharedTokens >= quota.burst &&
            ownTokens >= ownLimit(part(peers, nowMs))
    }

    private fun recordUse(peer: RouterStart, use: WorkspaceUse, nowMs: Long) {
        val key = PeerTotal(peer, use.countedFromMs)
        val last = reported[key]
        val taken = when {
            last != null -> use.admitted - last.admitted
            // The tenth of the burst at the start allows for what was admitted before.
            nowMs - startedAtMs < SETTLING_MS -> 0
            else -> minOf(use.admitted, use.arrivals.toLong(), quota.burst.toLong())
        }
        val floorTokens = -(quota.burst + quota.requestsPerS * MAX_DEBT_S)
        sharedTokens = (sharedTokens - taken.coerceAtLeast(0)).coerceAtLeast(floorTokens)
        reported[key] = ReportedTotal(maxOf(use.admitted, last?.admitted ?: 0), nowMs)
    }

    private fun fill(peers: PeerCount, nowMs: Long) {
        val part = part(peers, nowMs)
        val filled = (nowMs - filledAtMs).coerceAtLeast(0) * quota.requestsPerS / MS_PER_S
        ownTokens = minOf(ownTokens + filled * part, ownLimit(part))
        sharedTokens = minOf(sharedTokens + filled, quota.burst.toDouble())
        filledAtMs = maxOf(filledAtMs, nowMs)
    }

    private fun ownLimit(part: Double): Double = maxOf(1.0, quota.burst * part)

    /**
     * Part of the rate by the arrivals that the peers know of. If a router compared its latest
     * arrivals with the older ones of its peers, each router would take a flood for its own.
     */
    private fun part(peers: PeerCount, nowMs: Long): Double {
        while (arrivedAtMs.isNotEmpty() && arrivedAtMs.first() <= nowMs - PEER_AGE_MS - WINDOW_MS) {
            arrivedAtMs.removeFirst()
        }
        return part(countUntil(nowMs - PEER_AGE_MS), peers)
    }

    private fun part(arrivals: Int, peers: PeerCount): Double =
        budgetPart(weighted(arrivals.toLong()), weighted(peerArrivals), peers.heard, peers.known)

    private fun weighted(arrivals: Long): Int =
        (arrivals * ARRIVAL_WEIGHT).coerceAtMost(MAX_NEED).toInt()

    private fun arrivalCount(nowMs: Long): Int =
        arrivedAtMs.size - countUntil(nowMs - WINDOW_MS)

    /** Number of arrivals at or before [atMs]. */
    private fun countUntil(atMs: Long): Int =
        -arrivedAtMs.binarySearch { if (it <= atMs) -1 else 1 } - 1

    /** A running total of a peer. */
    private data class PeerTotal(val peer: RouterStart, val countedFromMs: Long)

    private class ReportedTotal(val admitted: Long, val atMs: Long)

    private companion object {
        const val WINDOW_MS = ServerRateLimits.WINDOW_MS

        /**
         * A starting router does not know what was admitted before, by itself or others. With a
         * full bucket, each restart would give the workspace another burst.
         */
        const val START_FRACTION = 0.1

        /**
         * Need of one request. [budgetPart] adds a need of 1 for each router; if a request had the
         * same need, one router of 40 that gets all 4 requests a second would have 17/56 of the
         * rate.
         */
        const val ARRIVAL_WEIGHT = 100L

        /** Keeps the sums of [budgetPart] within an Int. */
        const val MAX_NEED = 500_000_000L

        /**
         * Period of the gossip to each peer in a fleet of 40 routers. The shared tokens are divided
         * once in this time, because a router that divided them again before its peers report would
         * use their part too.
         */
        const val REPORT_MS = 800L

        /** Greatest age of what peers report that are heard from; older messages are not used. */
        const val PEER_AGE_MS = 1_500L

        /** Each peer that is alive has been heard from within this time after the start. */
        const val SETTLING_MS = 2_000L

        /** Longer than the window in which a peer reports its use. */
        const val TOTAL_RETENTION_MS = 30_000L

        /** While a lower quota is rolled out, peers still admit more than this router expects. */
        const val MAX_DEBT_S = 10
        const val MAX_WAIT_MS = 60_000.0
        const val TOKEN_TOLERANCE = 1e-9
        const val MS_PER_S = 1_000.0
    }
}

/** Number of peers that were [heard] from recently, and of those [known] that may be running. */
internal data class PeerCount(val heard: Int, val known: Int)
