package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.paths.probeTimeout
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.transport.EventLoop

/**
 * Tells soon whether an engine lives.
 *
 * A living engine answers within a few ms. One that does not is asked a second time on a new
 * connection, because a lost packet or a connection that went silent is no sign of its end. A
 * silence in which this process stood still says nothing, so the engine is asked again.
 */
internal class EngineProbe(
    private val loop: EventLoop,
    private val engines: EngineClient,
    private val clockMs: () -> Long
) {
    private val limit = probeTimeout()

    /** Asks [server] for a report; null if it is silent. */
    fun ask(server: BackendServer, onReport: (EngineReport?) -> Unit) = ask(server, 0, onReport)

    /** Asks [server] for a report, with time for a process that has just started. */
    fun askPatiently(server: BackendServer, onReport: (EngineReport?) -> Unit) =
        engines.report(server, PATIENT_MS, false, onReport)

    private fun ask(server: BackendServer, tries: Int, onReport: (EngineReport?) -> Unit) {
        val askedAtMs = clockMs()
        val timeoutMs = limit.timeoutMs
        var open = 1
        var isDone = false
        fun answered(report: EngineReport?) {
            open--
            if (report != null) limit.answered(clockMs() - askedAtMs)
            if (isDone || report == null && open > 0) return
            isDone = true
            val stoodStill = clockMs() - askedAtMs > timeoutMs + OWN_DELAY_MS
            if (report == null && stoodStill && tries < MAX_TRIES) {
                ask(server, tries + 1, onReport)
            } else {
                onReport(report)
            }
        }
        engines.report(server, timeoutMs) { answered(it) }
        val secondMs = timeoutMs / SECOND_DIVISOR
        loop.schedule(secondMs) {
            if (!isDone) {
                open++
                engines.report(server, timeoutMs - secondMs, true) { answered(it) }
            }
        }
    }

    private companion object {
        /** The second question still has most of the time for its answer. */
        const val SECOND_DIVISOR = 4
        const val PATIENT_MS = 500L

        /** Timers are late by a few ms unless the process was stopped or had no processor. */
        const val OWN_DELAY_MS = 20L
        const val MAX_TRIES = 5
    }
}
