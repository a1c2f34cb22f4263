package org.jacinthlink.decision.plain

import kotlin.math.exp
import kotlin.math.roundToInt
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.ServerStart

/** How a request that was sent to a server of a plain service ended. */
sealed interface AttemptEnd {
    /** The server answered after [tookMs]. */
    data class Answered(val tookMs: Long) : AttemptEnd

    /** The server did not execute the request because it had no capacity. */
    data object NotExecuted : AttemptEnd

    /** The server, or the connection to it, failed. */
    data object Failed : AttemptEnd

    /** This router no longer waits for the answer, after [tookMs]. */
    data class Cancelled(val tookMs: Long) : AttemptEnd
}

/**
 * Places of plain services that a router may use.
 *
 * @property limit Sum of the limits of the usable servers.
 * @property inFlight Requests of all routers that they run or queue.
 * @property free Places for further requests.
 * @property requestsPerMs Rate at which they answer if all places are in use.
 */
data class PlainPlaces(val limit: Int, val inFlight: Int, val free: Int, val requestsPerMs: Double)

/**
 * Choice of the server of a plain service.
 *
 * Load pattern: servers of one service that differ in speed by several times, and bursts of one
 * class. The server with the lowest expected completion time is chosen. A server that is far slower
 * than the others gets one request at a time from each router, so that few requests wait for it and
 * its recovery is still noticed. If many servers seem slow, the load is the cause, and none of them
 * is spared.
 *
 * Requests in flight at the peers are known from gossip, and averaged: if all routers followed the
 * latest figures at once, all would fill the same places at one time and leave them free at the
 * next. A router may always use its part of the limits, so that old figures of the peers do not
 * keep its requests from idle servers.
 */
class PlainServers internal constructor() {
    private val uses = HashMap<ServerStart, ServerUse>()
    private var peerInFlight: Map<ServerStart, Double> = emptyMap()
    private var updatedAtMs: Long? = null
    private var rotation = 0

    /** Requests of this router in flight at each server that has any. */
    val inFlight: Map<ServerStart, Int>
        get() = uses.mapValues { it.value.inFlight }.filterValues { it > 0 }

    /**
     * Updates the average of the requests in flight at the peers; called periodically.
     *
     * @param inFlight Sum of the latest figures of the peers.
     * @param peerCount Number of peers that may be running.
     */
    fun updatePeers(inFlight: Map<ServerStart, Int>, peerCount: Int, nowMs: Long) {
        val windowMs = (peerCount * WINDOW_PER_PEER_MS).coerceIn(1.0, MAX_WINDOW_MS)
        val kept = updatedAtMs?.let { exp(-(nowMs - it) / windowMs) } ?: 0.0
        updatedAtMs = nowMs
        peerInFlight = (inFlight.keys + peerInFlight.keys).associateWith {
            val latest = (inFlight[it] ?: 0).toDouble()
            (peerInFlight[it] ?: latest) * kept + latest * (1 - kept)
        }.filterValues { it >= MIN_AVERAGE }
    }

    /** Forgets the servers that are not in [known] and have no request of this router. */
    fun retain(known: Set<ServerStart>) {
        uses.entries.removeIf { (start, use) -> start !in known && use.inFlight == 0 }
    }

    /**
     * What this router may use of the servers [usable] of one service.
     *
     * @param ownPart Part of the limits that this router may use in any case.
     */
    fun places(usable: List<BackendServer>, ownPart: Double, nowMs: Long): PlainPlaces {
        val view = ServiceView(healthy(usable, nowMs), nowMs)
        return PlainPlaces(
            limit = view.servers.sumOf { useOf(it).limit.limit },
            inFlight = view.servers.sumOf { totalInFlight(it) }.toInt(),
            free = maxOf(view.servers.sumOf { view.free(it) }, view.freePart(ownPart)),
            requestsPerMs = view.servers.sumOf { useOf(it).limit.limit / view.responseMs(it) }
        )
    }

    /** True if one of [usable] has a place for a request of this router; see [places]. */
    fun hasPlace(usable: List<BackendServer>, ownPart: Double, nowMs: Long): Boolean {
        val view = ServiceView(healthy(usable, nowMs), nowMs)
        return view.servers.any { view.free(it) > 0 } || view.freePart(ownPart) > 0
    }

    /**
     * Returns the server of [usable] with the lowest expected completion time, or null if there are
     * none. Servers without a place are chosen after all others, and those that failed recently
     * only if there are no others.
     */
    fun choose(usable: List<BackendServer>, nowMs: Long): BackendServer? {
        rotation++
        val view = ServiceView(healthy(usable, nowMs), nowMs)
        val servers = view.servers
        return servers.indices.map { servers[(it + rotation).mod(servers.size)] }
            .minWithOrNull(
                compareBy(
                    { view.free(it) <= 0 },
                    { view.isOutlier(it) && useOf(it).inFlight > 0 },
                    { useOf(it).hasRefusedSince(nowMs - AVOIDANCE_MS) },
                    { view.completionMs(it) }
                )
            )
    }

    /** Records that a request was sent to [server]. */
    fun started(server: BackendServer) {
        useOf(server).inFlight++
    }

    /**
     * Records the [end] of a request that was sent to [server]. Returns true if that lowers the
     * limit of the server.
     *
     * @param isWaiting True if requests wait for a place at a server of the service.
     */
    fun ended(server: BackendServer, end: AttemptEnd, isWaiting: Boolean, nowMs: Long): Boolean {
        val use = useOf(server)
        val total = totalInFlight(server).toInt()
        use.inFlight--
        return when (end) {
            is AttemptEnd.Answered -> {
                use.recordResponse(end.tookMs, nowMs)
                use.limit.answered(end.tookMs, total, isWaiting, nowMs)
            }
            is AttemptEnd.Cancelled -> {
                // The response would have taken longer than that.
                if (end.tookMs > (use.responseMs(nowMs) ?: 0.0)) {
                    use.recordResponse(end.tookMs, nowMs)
                }
                false
            }
            AttemptEnd.NotExecuted -> {
                use.refusedAtMs = nowMs
                use.limit.refused(nowMs)
            }
            AttemptEnd.Failed -> {
                use.failedAtMs = nowMs
                false
            }
        }
    }

    /** Limit of [server]. */
    fun limitOf(server: BackendServer): Int = useOf(server).limit.limit

    private fun healthy(usable: List<BackendServer>, nowMs: Long): List<BackendServer> =
        usable.filter { !useOf(it).hasFailedSince(nowMs - AVOIDANCE_MS) }.ifEmpty { usable }

    private fun totalInFlight(server: BackendServer): Double =
        useOf(server).inFlight + (peerInFlight[server.start] ?: 0.0)

    private fun useOf(server: BackendServer): ServerUse =
        uses.getOrPut(server.start) { ServerUse(concurrencyLimit(server.slots)) }

    /** The healthy servers of one service, compared with each other. */
    private inner class ServiceView(val servers: List<BackendServer>, private val nowMs: Long) {
        private val medianMs: Double
        private val maxLimit = servers.maxOfOrNull { useOf(it).limit.limit } ?: 1
        private val outliers: Set<ServerStart>

        init {
            val times = servers.mapNotNull { useOf(it).responseMs(nowMs) }.sorted()
            medianMs = if (times.isEmpty()) USUAL_RESPONSE_MS else times[(times.size - 1) / 2]
            val slow = servers.filter { responseMs(it) > medianMs * OUTLIER_FACTOR }
            outliers =
                if (slow.size * MAX_OUTLIERS_DIVISOR > servers.size) {
                    emptySet()
                } else {
                    slow.map { it.start }.toSet()
                }
        }

        fun responseMs(server: BackendServer): Double =
            (useOf(server).responseMs(nowMs) ?: medianMs).coerceAtLeast(1.0)

        fun isOutlier(server: BackendServer): Boolean = server.start in outliers

        fun free(server: BackendServer): Int {
            val use = useOf(server)
            val free = (use.limit.limit - totalInFlight(server)).roundToInt().coerceAtLeast(0)
            return if (isOutlier(server) && use.inFlight > 0) 0 else free
        }

        /** What is left of this router's part of the limits. */
        fun freePart(ownPart: Double): Int {
            val fast = servers.filter { !isOutlier(it) }
            val part = (fast.sumOf { useOf(it).limit.limit } * ownPart).toInt()
            return (part - fast.sumOf { useOf(it).inFlight }).coerceAtLeast(0)
        }

        /**
         * Idle servers that are about as fast as the median are equal, so that they take turns and
         * one whose limit was lowered is used again.
         */
        fun completionMs(server: BackendServer): Double {
            val timeMs = responseMs(server)
            val isIdle = totalInFlight(server) < IDLE_IN_FLIGHT
            return if (isIdle &&
                timeMs <= medianMs.coerceAtLeast(MIN_RESPONSE_MS) * SIMILAR_FACTOR
            ) {
                medianMs / maxLimit
            } else {
                (totalInFlight(server) + 1) / useOf(server).limit.limit * timeMs
            }
        }
    }

    private companion object {
        /** For this time after a failure of a server, other servers are preferred. */
        const val AVOIDANCE_MS = 700L

        /** A server whose response time is this many times the median is an outlier. */
        const val OUTLIER_FACTOR = 3
        const val MAX_OUTLIERS_DIVISOR = 3

        /** Window of the average for each peer: the period of the gossip grows with the peers. */
        const val WINDOW_PER_PEER_MS = 250.0

        /** Longest window of the average; a burst at other routers is noticed within it. */
        const val MAX_WINDOW_MS = 1_500.0
        const val MIN_AVERAGE = 0.05

        /** Average requests in flight of a server that has none at most times. */
        const val IDLE_IN_FLIGHT = 0.5

        /** Response times below this, or that differ by less than this factor, are alike. */
        const val MIN_RESPONSE_MS = 5.0
        const val SIMILAR_FACTOR = 1.5

        /** Response time of a service that has not answered recently. */
        const val USUAL_RESPONSE_MS = 100.0
    }
}

/** Creates the state of a router that has sent no request. */
fun plainServers(): PlainServers = PlainServers()

/** Use of one server by this router. */
private class ServerUse(val limit: ConcurrencyLimit) {
    var inFlight = 0
    var failedAtMs: Long? = null
    var refusedAtMs: Long? = null
    private var averageMs = 0.0
    private var answeredAtMs: Long? = null

    fun hasFailedSince(sinceMs: Long): Boolean = (failedAtMs ?: return false) > sinceMs

    fun hasRefusedSince(sinceMs: Long): Boolean = (refusedAtMs ?: return false) > sinceMs

    /** Recent response time, or null if there is none. */
    fun responseMs(nowMs: Long): Double? =
        averageMs.takeIf { nowMs - (answeredAtMs ?: return null) <= RETENTION_MS }

    fun recordResponse(tookMs: Long, nowMs: Long) {
        val previousMs = responseMs(nowMs) ?: tookMs.toDouble()
        averageMs = previousMs * (1 - WEIGHT) + tookMs * WEIGHT
        answeredAtMs = nowMs
    }

    private companion object {
        /** Weight of the newest response time in the moving average. */
        const val WEIGHT = 0.3

        /** A server that was slow is tried again after this time without an answer. */
        const val RETENTION_MS = 5_000L
    }
}
