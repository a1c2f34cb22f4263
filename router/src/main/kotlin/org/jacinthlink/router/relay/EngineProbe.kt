package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
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
    /** Asks [server] for a report; null if it is silent. */
    fun ask(server: BackendServer, onReport: (EngineReport?) -> Unit) = ask(server, 0, onReport)

    /** Asks [server] for a report, with time for a process that has just started. */
    fun askPatiently(server: BackendServer, onReport: (EngineReport?) -> Unit) =
        engines.report(server, PATIENT_MS, false, onReport)

    private fun ask(server: BackendServer, tries: Int, onReport: (EngineReport?) -> Unit) {
        val askedAtMs = clockMs()
        var open = 1
        var isDone = false
        fun answered(report: EngineReport?) {
            open--
            if (isDone || report == null && open > 0) return
            isDone = true
            val stoodStill = clockMs() - askedAtMs > TIMEOUT_MS + OWN_DELAY_MS
            if (report == null && stoodStill && tries < MAX_TRIES) {
                ask(server, tries + 1, onReport)
            } else {
                onReport(report)
            }
        }
        engines.report(server, TIMEOUT_MS) { answered(it) }
        loop.schedule(SECOND_MS) {
            if (!isDone) {
                open++
                engines.report(server, TIMEOUT_MS - SECOND_MS, true) { answered(it) }
            }
        }
    }

    private companion object {
        /** An engine answers a report within 7 ms, also under load. */
        const val SECOND_MS = 15L
        const val TIMEOUT_MS = 55L
        const val PATIENT_MS = 500L

        /** Timers are late by a few ms unless the process was stopped or had no processor. */
        const val OWN_DELAY_MS = 20L
        const val MAX_TRIES = 5
    }
}
