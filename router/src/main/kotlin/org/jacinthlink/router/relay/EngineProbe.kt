package org.jacinthlink.router.relay

import kotlin.math.abs
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.paths.isLocalDelay
import org.jacinthlink.decision.paths.probeTimeout
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.transport.EventLoop

/**
 * Finds out within a short time whether an engine is alive.
 *
 * A live engine answers within a few ms. If it does not, the request is repeated on a new
 * connection, because a lost packet or a stalled connection does not mean that the engine is dead.
 * If most of the engines that are probed at about the same time have not answered, the delay is
 * probably on this machine, and the timeout is extended. If this process was paused during the
 * probe, a missing answer proves nothing, and the engine is probed again. An answer after the
 * timeout shows that the timeout is too short for this machine, and raises the timeout of later
 * probes.
 */
internal class EngineProbe(
    private val loop: EventLoop,
    private val engines: EngineClient,
    private val clockMs: () -> Long
) {
    private val timeoutEstimate = probeTimeout()
    private val recentProbes = ArrayDeque<Probe>()

    /**
     * Requests a report from [server]. [onReport] receives null if the server does not answer in
     * time, and after that the report if it arrives late.
     */
    fun requestReport(server: BackendServer, onReport: (EngineReport?) -> Unit) =
        requestReport(server, 0, onReport)

    /**
     * Requests a report from [server] with a long timeout, because this process may have just
     * started.
     */
    fun requestReportWithLongTimeout(server: BackendServer, onReport: (EngineReport?) -> Unit) =
        engines.report(server, LONG_TIMEOUT_MS, false, onReport)

    private fun requestReport(
        server: BackendServer,
        retries: Int,
        onReport: (EngineReport?) -> Unit
    ) {
        val probe = Probe(server, retries, timeoutEstimate.timeoutMs, onReport)
        recentProbes.addLast(probe)
        while (recentProbes.size > MAX_RECENT_PROBES) recentProbes.removeFirst()
        engines.report(server, RESPONSE_TIMEOUT_MS) { probe.answered(it) }
        loop.schedule(probe.timeoutMs / RETRY_DELAY_DIVISOR) { probe.retryOnNewConnection() }
        loop.schedule(probe.timeoutMs) { probe.timedOut() }
    }

    private inner class Probe(
        private val server: BackendServer,
        private val retries: Int,
        val timeoutMs: Long,
        private val onReport: (EngineReport?) -> Unit
    ) {
        private val startedAtMs = clockMs()
        private var openRequests = 1
        private var isAnswered = false
        private var isFinished = false
        private var extensions = 0

        fun retryOnNewConnection() {
            if (isAnswered || isFinished) return
            openRequests++
            engines.report(server, RESPONSE_TIMEOUT_MS, true) { answered(it) }
        }

        fun answered(report: EngineReport?) {
            openRequests--
            if (report != null) timeoutEstimate.answered(clockMs() - startedAtMs)
            when {
                isAnswered -> Unit
                report != null -> {
                    isAnswered = true
                    onReport(report)
                }
                openRequests == 0 && !isFinished -> end()
            }
        }

        private fun isLocalDelay(): Boolean {
            val concurrent =
                recentProbes.filter { abs(it.startedAtMs - startedAtMs) <= CONCURRENT_WINDOW_MS }
            return isLocalDelay(concurrent.size, concurrent.count { !it.isAnswered })
        }

        fun timedOut() {
            if (isAnswered || isFinished) return
            if (extensions < MAX_EXTENSIONS && isLocalDelay()) {
                extensions++
                loop.schedule(timeoutMs) { timedOut() }
            } else {
                end()
            }
        }

        private fun end() {
            isFinished = true
            val wasPaused =
                clockMs() - startedAtMs > timeoutMs * (extensions + 1) + TIMER_TOLERANCE_MS
            if (wasPaused && retries < MAX_RETRIES) {
                // A late answer to this probe is ignored, because the new probe replaces it.
                isAnswered = true
                requestReport(server, retries + 1, onReport)
            } else {
                onReport(null)
            }
        }
    }

    private companion object {
        /** The second request is sent early, so most of the timeout is left for its answer. */
        const val RETRY_DELAY_DIVISOR = 4
        const val LONG_TIMEOUT_MS = 500L

        /** Covers the probes of all servers of one or two paths. */
        const val MAX_RECENT_PROBES = 64
        const val CONCURRENT_WINDOW_MS = 30L
        const val MAX_EXTENSIONS = 3

        /** Answers that arrive after the longest timeout are of no use. */
        const val RESPONSE_TIMEOUT_MS = 600L

        /** Timers fire a few ms late at most, unless the process was paused or got no CPU. */
        const val TIMER_TOLERANCE_MS = 20L
        const val MAX_RETRIES = 5
    }
}
