package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.retry.SharedRetryBudget
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.beliefs.ServerDirectory

/**
 * Moves streams away from paths whose servers are unresponsive or draining, or that deliver the
 * first event late.
 */
internal class PathGuard(
    log: DecisionLog,
    private val servers: ServerDirectory,
    private val faults: FaultWatch,
    private val paths: PathBook,
    private val ledger: SharedRetryBudget
) {
    /** Streams in progress. */
    val streams = StreamBook(log, ::checkServers)

    /** Moves streams to other paths; called every [StreamBook.TICK_MS] milliseconds. */
    fun tick(nowMs: Long) {
        streams.tick(nowMs)
        faults.unresponsive.forEach { streams.leaveSilent(it, nowMs, isNewlyDetected = false) }
        val hasAlternative = { home: String, tokens: Long ->
            ledger.allowsOptionalRetry(nowMs) && paths.hasAlternative(home, tokens, nowMs)
        }
        streams.moveFromLeaving(nowMs, ::isLeaving, hasAlternative)
        streams.moveAwaitingFirstEvent(nowMs, hasAlternative)
    }

    private fun isLeaving(address: String): Boolean =
        servers.isLeaving(address) || faults.isLeaving(address)

    private fun checkServers(path: List<BackendServer>) {
        path.forEach { faults.check(it, "path silent") }
    }
}
