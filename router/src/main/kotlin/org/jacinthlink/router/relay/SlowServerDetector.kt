package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.transport.EventLoop

/**
 * Detects engines that are much slower than usual for their accelerator, from their own reports and
 * from the reports of peers.
 *
 * Load pattern: some engines become slow under load, and every path through one of them delays its
 * requests. Paths avoid these engines while other engines hold the same layers.
 */
internal class SlowServerDetector(
    private val loop: EventLoop,
    private val requestReport: (BackendServer, (EngineReport?) -> Unit) -> Unit,
    private val log: DecisionLog,
    private val onChanged: () -> Unit
) {
    private val slowdownByAddress = HashMap<String, Double>()
    private var reportedByPeers = emptySet<String>()

    /** Addresses of the slow engines that this process has detected. */
    val detected: Set<String> get() = slowdownByAddress.keys.toSet()

    /** Addresses of all slow engines, including those that peers have detected. */
    val slow: Set<String> get() = slowdownByAddress.keys + reportedByPeers

    /** Replaces the addresses that the peers have detected. */
    fun updateFromPeers(addresses: Set<String>) {
        if (addresses == reportedByPeers) return
        reportedByPeers = addresses
        onChanged()
    }

    /**
     * Updates the state of [server] from its [report]. A server that peers have already detected as
     * slow is not added to [detected].
     */
    fun recordReport(server: BackendServer, report: EngineReport) {
        val wasSlow = server.address in slowdownByAddress
        val limit = if (wasSlow) RECOVERED_FACTOR else SLOW_FACTOR
        when {
            report.slowdownFactor >= limit && (wasSlow || server.address !in reportedByPeers) -> {
                slowdownByAddress[server.address] = report.slowdownFactor
                if (!wasSlow) changed("server_slow", server, report)
                loop.schedule(RECHECK_MS) { recheck(server) }
            }
            wasSlow && report.slowdownFactor < limit -> {
                slowdownByAddress.remove(server.address)
                changed("server_fast_again", server, report)
            }
        }
    }

    private fun recheck(server: BackendServer) {
        if (server.address !in slowdownByAddress) return
        requestReport(server) { report ->
            when {
                report != null -> recordReport(server, report)
                slowdownByAddress.remove(server.address) != null -> onChanged()
            }
        }
    }

    private fun changed(event: String, server: BackendServer, report: EngineReport) {
        log.event(event, "address" to server.address, "pace" to report.slowdownFactor)
        onChanged()
    }

    private companion object {
        /**
         * From this factor on, an engine takes more of the time between two events than all other
         * engines of its path together.
         */
        const val SLOW_FACTOR = 4.0
        const val RECOVERED_FACTOR = 2.0
        const val RECHECK_MS = 1_000L
    }
}
