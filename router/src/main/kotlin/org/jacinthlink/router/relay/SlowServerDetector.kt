package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.transport.EventLoop

/**
 * Engines that are much slower than their kind, by their own reports or the word of a peer.
 *
 * Load pattern: some engines turn slow under load, so that every path through one of them lets its
 * requests wait. Paths avoid them while other engines hold their layers.
 */
internal class SlowServerDetector(
    private val loop: EventLoop,
    private val requestReport: (BackendServer, (EngineReport?) -> Unit) -> Unit,
    private val log: DecisionLog,
    private val onChanged: () -> Unit
) {
    private val ownPaces = HashMap<String, Double>()
    private var reported = emptySet<String>()

    /** Addresses of slow engines that this process has found. */
    val detected: Set<String> get() = ownPaces.keys.toSet()

    /** Addresses of all engines that are known to be slow. */
    val slow: Set<String> get() = ownPaces.keys + reported

    /** Takes the addresses that the peers have found. */
    fun updateFromPeers(addresses: Set<String>) {
        if (addresses == reported) return
        reported = addresses
        onChanged()
    }

    /** Takes a report of [server]. */
    fun heard(server: BackendServer, report: EngineReport) {
        val isKnown = server.address in ownPaces
        val limit = if (isKnown) RECOVERED_PACE else SLOW_PACE
        when {
            report.slowdownFactor >= limit && (isKnown || server.address !in reported) -> {
                ownPaces[server.address] = report.slowdownFactor
                if (!isKnown) changed("server_slow", server, report)
                loop.schedule(RECHECK_MS) { recheck(server) }
            }
            isKnown && report.slowdownFactor < limit -> {
                ownPaces.remove(server.address)
                changed("server_fast_again", server, report)
            }
        }
    }

    private fun recheck(server: BackendServer) {
        if (server.address !in ownPaces) return
        requestReport(server) { report ->
            when {
                report != null -> heard(server, report)
                ownPaces.remove(server.address) != null -> onChanged()
            }
        }
    }

    private fun changed(event: String, server: BackendServer, report: EngineReport) {
        log.event(event, "address" to server.address, "pace" to report.slowdownFactor)
        onChanged()
    }

    private companion object {
        /** From this factor on, a part takes more of a pause than all others together. */
        const val SLOW_PACE = 4.0
        const val RECOVERED_PACE = 2.0
        const val RECHECK_MS = 1_000L
    }
}
