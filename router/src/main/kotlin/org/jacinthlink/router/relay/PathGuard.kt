package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.retry.SharedRetryBudget
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.beliefs.ServerDirectory

/** Keeps streams off paths whose servers are silent, leave or do not answer. */
internal class PathGuard(
    log: DecisionLog,
    private val servers: ServerDirectory,
    private val faults: FaultWatch,
    private val paths: PathBook,
    private val ledger: SharedRetryBudget
) {
    /** Streams under way. */
    val streams = StreamBook(log, ::askServers)

    /** Looks for streams that should go on elsewhere; called each [StreamBook.TICK_MS]. */
    fun tick(nowMs: Long) {
        streams.tick(nowMs)
        faults.silent.forEach { streams.leaveSilent(it, nowMs, isNewlyDetected = false) }
        val hasOther = { home: String, tokens: Long ->
            ledger.allowsOptionalRetry(nowMs) && paths.hasOther(home, tokens, nowMs)
        }
        streams.moveFromLeaving(nowMs, ::isLeaving, hasOther)
        streams.moveWaiting(nowMs, hasOther)
    }

    private fun isLeaving(address: String): Boolean =
        servers.isLeaving(address) || faults.isLeaving(address)

    private fun askServers(path: List<BackendServer>) {
        path.forEach { faults.check(it, "path silent") }
    }
}
