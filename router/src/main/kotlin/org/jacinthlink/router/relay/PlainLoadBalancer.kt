package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer

/** Distributes the requests of plain services over their servers. */
internal class PlainLoadBalancer {
    private val openByServer = HashMap<String, Int>()
    private val avoidedUntilMs = HashMap<String, Long>()
    private val latencyMs = HashMap<String, Double>()
    private var rotation = 0

    /**
     * Returns the server of [candidates] with the least expected wait, or null if there are none.
     * The wait is estimated from the number of open requests, with a penalty for slow servers.
     * Servers with a recent failure are used only if there are no others.
     */
    fun choose(candidates: List<BackendServer>, nowMs: Long): BackendServer? {
        rotation++
        val healthy = candidates.filter { (avoidedUntilMs[it.instanceId] ?: 0) <= nowMs }
        val usable = healthy.ifEmpty { candidates }
        return usable.indices
            .sortedBy { (it + rotation) % usable.size }
            .minByOrNull { cost(usable[it]) }
            ?.let { usable[it] }
    }

    /** Records that a request was sent to [server]. */
    fun started(server: BackendServer) {
        openByServer.merge(server.instanceId, 1, Int::plus)
    }

    /** Records that a request to [server] ended after [tookMs]. */
    fun ended(server: BackendServer, tookMs: Long, hasFailed: Boolean, nowMs: Long) {
        openByServer.merge(server.instanceId, -1, Int::plus)
        if (hasFailed) {
            avoidedUntilMs[server.instanceId] = nowMs + FAILURE_PAUSE_MS
        } else {
            val previous = latencyMs[server.instanceId] ?: tookMs.toDouble()
            latencyMs[server.instanceId] = previous * (1 - WEIGHT) + tookMs * WEIGHT
        }
    }

    private fun cost(server: BackendServer): Double {
        val penalty =
            if ((latencyMs[server.instanceId] ?: 0.0) > SLOW_LATENCY_MS) {
                SLOW_PENALTY_REQUESTS
            } else {
                0
            }
        return (openByServer[server.instanceId] ?: 0) + penalty.toDouble()
    }

    private companion object {
        /** For this time after a failure of a server, other servers are preferred. */
        const val FAILURE_PAUSE_MS = 700L

        /** Weight of the newest latency in the moving average. */
        const val WEIGHT = 0.3
        const val SLOW_LATENCY_MS = 70.0

        /** A slow server is chosen as if it had this many more open requests. */
        const val SLOW_PENALTY_REQUESTS = 4
    }
}
