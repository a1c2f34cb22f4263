package org.jacinthlink.decision.limits

import org.jacinthlink.decision.fleet.ServerStart

/**
 * What the other routers do at the servers with a rate limit.
 *
 * @property sent Requests that they have sent to each of these servers within the last
 *   [ServerRateLimits.WINDOW_MS].
 * @property demandPart Part of all requests for a service that arrive at this router, by service.
 *   The parts of all routers must add up to 1 at most.
 * @property evenPart The same for a service that no router has named.
 */
data class PeerUse(
    val sent: Map<ServerStart, Int>,
    val demandPart: Map<String, Double>,
    val evenPart: Double
)

/**
 * Keeps the requests of all routers together within the rate that a backend server takes.
 *
 * Load patterns: servers in need take a few requests a second, a fraction of one for each router;
 * the callers of a service are spread unevenly over the routers; a burst arrives at all routers
 * before they have heard of each other's requests; a router starts, stops or is not heard from.
 *
 * Each router has a token bucket for each server, which fills at its part of the server's rate, so
 * that all of them together stay within the rate without an exchange for each request. A bucket
 * holds one token at least, because a router could otherwise never send. With many routers and a
 * low rate, the full buckets alone would exceed the rate, so a router also counts the requests that
 * it and its peers have sent within a window.
 */
class ServerRateLimits internal constructor() {
    private val notices = HashMap<ServerStart, TimedNotice>()
    private val buckets = HashMap<ServerStart, TokenBucket>()
    private var peers = PeerUse(emptyMap(), emptyMap(), 1.0)

    /** Servers with a limit at [nowMs], and the requests a second that each of them takes. */
    fun limited(nowMs: Long): Map<ServerStart, Double> =
        notices.keys.mapNotNull { server -> rate(server, nowMs)?.let { server to it } }.toMap()

    /** Notices given at or after [sinceMs]. */
    fun noticesSince(sinceMs: Long): Map<ServerStart, TimedNotice> =
        notices.filterValues { it.atMs >= sinceMs }

    /** Requests that this router has sent to [server] within the window, since its first limit. */
    fun sentCount(server: ServerStart, nowMs: Long): Int =
        buckets[server]?.sentCount(nowMs) ?: 0

    /**
     * Records a notice of [server], a server of [service]. An older one than the last is ignored.
     *
     * @return True if the limit of the server has changed.
     */
    fun record(server: ServerStart, service: String, notice: TimedNotice): Boolean {
        val known = notices[server]
        val isNews = notice.notice != RateLimitNotice.Unknown &&
            (known == null || known.atMs <= notice.atMs)
        val wasUnlimited = known == null || known.notice == RateLimitNotice.Unlimited
        if (!isNews || wasUnlimited && notice.notice == RateLimitNotice.Unlimited) return false
        notices[server] = notice
        // The bucket outlasts the limit, because responses may overtake each other.
        buckets.getOrPut(server) { TokenBucket(service, notice.atMs) }
        return known?.notice != notice.notice
    }

    /** Takes over what the other routers do. */
    fun updatePeers(use: PeerUse, nowMs: Long) {
        limited(nowMs).forEach { (server, rate) -> buckets[server]?.fill(rate, nowMs) }
        peers = use
        notices.values.removeIf { nowMs - it.atMs > RETENTION_MS }
        buckets.keys.retainAll(notices.keys)
    }

    /** True if a request may be sent to [server]. */
    fun allows(server: ServerStart, nowMs: Long): Boolean = remainingMs(server, nowMs) == 0L

    /** Records that a request has been sent to [server]. */
    fun recordSent(server: ServerStart, nowMs: Long) {
        buckets[server]?.take(rate(server, nowMs), nowMs)
    }

    /** Time until a request may be sent to [server]; 0 if it may be sent now. */
    fun remainingMs(server: ServerStart, nowMs: Long): Long {
        val rate = rate(server, nowMs) ?: return 0
        val bucket = buckets[server] ?: return 0
        val isWindowFull =
            bucket.sentCount(nowMs) + (peers.sent[server] ?: 0) >= rate * WINDOW_MS / MS_PER_S
        val tokenMs = bucket.untilTokenMs(rate, nowMs)
        return if (isWindowFull) maxOf(tokenMs, FULL_WINDOW_PAUSE_MS) else tokenMs
    }

    /** Requests a second that this router may send to [server], or null if it has no limit. */
    fun ownRate(server: ServerStart, nowMs: Long): Double? {
        val rate = rate(server, nowMs) ?: return null
        return buckets[server]?.let { rate * it.part() }
    }

    private fun rate(server: ServerStart, nowMs: Long): Double? {
        val known = notices[server]?.takeIf { nowMs - it.atMs <= RETENTION_MS } ?: return null
        return (known.notice as? RateLimitNotice.Limited)?.requestsPerS
    }

    private inner class TokenBucket(private val service: String, private var filledAtMs: Long) {
        private var tokens = 1.0
        private val sentAtMs = ArrayDeque<Long>()

        fun part(): Double = peers.demandPart[service] ?: peers.evenPart

        fun fill(rate: Double, nowMs: Long) {
            val perMs = rate * part() / MS_PER_S
            val most = maxOf(1.0, perMs * BURST_MS)
            tokens = (tokens + (nowMs - filledAtMs).coerceAtLeast(0) * perMs).coerceAtMost(most)
            filledAtMs = maxOf(filledAtMs, nowMs)
        }

        /** Records a request; it takes a token if the server has a limit, [rate]. */
        fun take(rate: Double?, nowMs: Long) {
            sentAtMs.addLast(nowMs)
            sentCount(nowMs)
            if (rate == null) return
            fill(rate, nowMs)
            tokens--
        }

        fun untilTokenMs(rate: Double, nowMs: Long): Long {
            fill(rate, nowMs)
            val missing = 1 - tokens
            if (missing <= TOKEN_TOLERANCE) return 0
            val waitMs = missing / (rate * part() / MS_PER_S)
            return waitMs.coerceIn(1.0, MAX_WAIT_MS).toLong()
        }

        fun sentCount(nowMs: Long): Int {
            while (sentAtMs.isNotEmpty() && sentAtMs.first() <= nowMs - WINDOW_MS) {
                sentAtMs.removeFirst()
            }
            return sentAtMs.size
        }
    }

    companion object {
        /** Window within which the requests to a server are counted. */
        const val WINDOW_MS = 4_000L

        /** A limit that has not been confirmed for this time no longer applies. */
        private const val RETENTION_MS = 30_000L

        /** A bucket holds the tokens of this time, and one token at least. */
        private const val BURST_MS = 500.0

        /** Peers report within this time how the window has changed. */
        private const val FULL_WINDOW_PAUSE_MS = 250L
        private const val MAX_WAIT_MS = 60_000.0
        private const val TOKEN_TOLERANCE = 1e-9
        private const val MS_PER_S = 1_000.0
    }
}

/** Creates a record without limits. */
fun serverRateLimits(): ServerRateLimits = ServerRateLimits()
