package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.retry.SharedRetryBudget
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.state.ServerRegistry

/** Keeps streams off paths whose servers are silent, leave or do not answer. */
internal class PathMonitor(
    log: DecisionLog,
    private val servers: ServerRegistry,
    private val faults: FailureDetector,
    private val paths: PathTable,
    private val ledger: SharedRetryBudget
) {
    /** Streams under way. */
    val streams = StreamTable(log, ::askServers)

    /** Looks for streams that should go on elsewhere; called each [StreamTable.TICK_MS]. */
    fun tick(nowMs: Long) {
        streams.tick(nowMs)
        faults.silent.forEach { streams.moveFromUnresponsive(it, nowMs, isNewlyDetected = false) }
        val hasOther = { home: String, tokens: Long ->
            ledger.allowsOptionalRetry(nowMs) && paths.hasOther(home, tokens, nowMs)
        }
        streams.moveFromDraining(nowMs, ::isDraining, hasOther)
        streams.moveWaiting(nowMs, hasOther)
    }

    private fun isDraining(address: String): Boolean =
        servers.isDraining(address) || faults.isDraining(address)

    private fun askServers(path: List<BackendServer>) {
        path.forEach { faults.check(it, "path silent") }
    }
}
