package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.retry.SharedRetryBudget
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.state.ServerRegistry

/**
 * Moves streams away from paths whose servers are unresponsive or draining, or that deliver the
 * first event late.
 */
internal class PathMonitor(
    log: DecisionLog,
    private val servers: ServerRegistry,
    private val failureDetector: FailureDetector,
    private val paths: PathTable,
    private val retryBudget: SharedRetryBudget
) {
    /** Streams in progress. */
    val streams = StreamTable(log, ::checkServers)

    /** Moves streams to other paths; called every [StreamTable.TICK_MS] milliseconds. */
    fun tick(nowMs: Long) {
        streams.tick(nowMs)
        failureDetector.unresponsive.forEach {
            streams.moveFromUnresponsive(it, nowMs, isNewlyDetected = false)
        }
        val hasAlternative = { home: String, tokens: Long ->
            retryBudget.allowsOptionalRetry(nowMs) && paths.hasAlternative(home, tokens, nowMs)
        }
        streams.moveFromDraining(nowMs, ::isDraining, hasAlternative)
        streams.moveAwaitingFirstEvent(nowMs, hasAlternative)
    }

    private fun isDraining(address: String): Boolean =
        servers.isDraining(address) || failureDetector.isDraining(address)

    private fun checkServers(path: List<BackendServer>) {
        path.forEach { failureDetector.check(it, "path silent") }
    }
}
