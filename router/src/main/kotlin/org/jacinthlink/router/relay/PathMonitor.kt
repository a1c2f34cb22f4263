package org.jacinthlink.router.relay

import org.jacinthlink.decision.paths.shouldLeaveDrainingServer
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
    probing: Probing,
    private val drainMs: Long
) {
    private val drainingSinceMs = HashMap<String, Long>()

    /** Streams in progress. */
    val streams = StreamTable(log, PathProber(log, failureDetector, probing))

    /** Moves streams to other paths; called every [StreamTable.TICK_MS] milliseconds. */
    fun tick(nowMs: Long) {
        streams.tick(nowMs)
        failureDetector.unresponsive.forEach {
            streams.moveFromUnresponsive(it, nowMs, isNewlyDetected = false)
        }
        streams.moveFromDraining(nowMs) { shouldLeave(it, nowMs) }
        streams.moveAwaitingFirstEvent(nowMs)
    }

    private fun shouldLeave(stream: StreamRelay, nowMs: Long): Boolean {
        val parts = stream.newestAttempt?.path?.parts.orEmpty()
        val drainingForMs =
            parts.mapNotNull { drainingForMs(it.server.address, nowMs) }.maxOrNull() ?: return false
        return shouldLeaveDrainingServer(stream.remainingMs, drainingForMs, drainMs)
    }

    /** Time since the server at [address] is known to be draining, or null if it is not. */
    private fun drainingForMs(address: String, nowMs: Long): Long? {
        val isDraining = servers.isDraining(address) || failureDetector.isDraining(address)
        if (!isDraining) drainingSinceMs.remove(address)
        return if (isDraining) nowMs - drainingSinceMs.getOrPut(address) { nowMs } else null
    }
}
