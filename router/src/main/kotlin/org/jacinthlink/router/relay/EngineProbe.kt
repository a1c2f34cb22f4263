package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.transport.EventLoop

/**
 * Tells soon whether an engine lives.
 *
 * A living engine answers within a few ms. One that does not is asked a second time on a new
 * connection, because a lost packet or a connection that went silent is no sign of its end.
 */
internal class EngineProbe(private val loop: EventLoop, private val engines: EngineClient) {
    /** Asks [server] for a report; null if it is silent. */
    fun ask(server: BackendServer, onReport: (EngineReport?) -> Unit) {
        var open = 1
        var isDone = false
        fun answered(report: EngineReport?) {
            open--
            if (isDone || report == null && open > 0) return
            isDone = true
            onReport(report)
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
        const val SECOND_MS = 20L
        const val TIMEOUT_MS = 70L
    }
}
