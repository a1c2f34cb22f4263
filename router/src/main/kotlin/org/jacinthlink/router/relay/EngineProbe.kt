package org.jacinthlink.router.relay

import kotlin.math.abs
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.paths.isOwnDelay
import org.jacinthlink.decision.paths.probeTimeout
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.transport.EventLoop

/**
 * Finds out within a short time whether an engine is alive.
 *
 * A live engine answers within a few ms. If it does not, the request is repeated on a new
 * connection, because a lost packet or a stalled connection does not mean that the engine is dead.
 * If this process was paused during the probe, a missing answer proves nothing, and the engine is
 * probed again. An answer after the timeout shows that the timeout is too short for this machine,
 * and raises the timeout of later probes.
 */
internal class EngineProbe(
    private val loop: EventLoop,
    private val engines: EngineClient,
    private val clockMs: () -> Long
) {
    private val limit = probeTimeout()
    private val recent = ArrayDeque<Question>()

    /**
     * Requests a report from [server]. [onReport] receives null if the server does not answer in
     * time, and after that the report if it arrives late.
     */
    fun ask(server: BackendServer, onReport: (EngineReport?) -> Unit) = ask(server, 0, onReport)

    /**
     * Requests a report from [server] with a long timeout, because this process may have just
     * started.
     */
    fun askPatiently(server: BackendServer, onReport: (EngineReport?) -> Unit) =
        engines.report(server, PATIENT_MS, false, onReport)

    private fun ask(server: BackendServer, tries: Int, onReport: (EngineReport?) -> Unit) {
        val question = Question(server, tries, limit.timeoutMs, onReport)
        recent.addLast(question)
        while (recent.size > REMEMBERED) recent.removeFirst()
        engines.report(server, LATEST_MS) { question.answered(it) }
        loop.schedule(question.timeoutMs / SECOND_DIVISOR) { question.askAgain() }
        loop.schedule(question.timeoutMs) { question.timedOut() }
    }

    private inner class Question(
        private val server: BackendServer,
        private val tries: Int,
        val timeoutMs: Long,
        private val onReport: (EngineReport?) -> Unit
    ) {
        private val askedAtMs = clockMs()
        private var open = 1
        private var isAnswered = false
        private var isOver = false
        private var delays = 0

        fun askAgain() {
            if (isAnswered || isOver) return
            open++
            engines.report(server, LATEST_MS, true) { answered(it) }
        }

        fun answered(report: EngineReport?) {
            open--
            if (report != null) limit.answered(clockMs() - askedAtMs)
            when {
                isAnswered -> Unit
                report != null -> {
                    isAnswered = true
                    onReport(report)
                }
                open == 0 && !isOver -> end()
            }
        }

        private fun isOwnDelay(): Boolean {
            val together = recent.filter { abs(it.askedAtMs - askedAtMs) <= TOGETHER_MS }
            return isOwnDelay(together.size, together.count { !it.isAnswered })
        }

        fun timedOut() {
            if (isAnswered || isOver) return
            if (delays < MAX_DELAYS && isOwnDelay()) {
                delays++
                loop.schedule(timeoutMs) { timedOut() }
            } else {
                end()
            }
        }

        private fun end() {
            isOver = true
            val stoodStill = clockMs() - askedAtMs > timeoutMs * (delays + 1) + OWN_DELAY_MS
            if (stoodStill && tries < MAX_TRIES) {
                isAnswered = true
                ask(server, tries + 1, onReport)
            } else {
                onReport(null)
            }
        }
    }

    private companion object {
        /** The second request still has most of the timeout left for its answer. */
        const val SECOND_DIVISOR = 4
        const val PATIENT_MS = 500L

        /** Number of probes of the servers of one or two paths. */
        const val REMEMBERED = 64
        const val TOGETHER_MS = 30L
        const val MAX_DELAYS = 3

        /** Answers that arrive after the longest timeout are of no use. */
        const val LATEST_MS = 600L

        /** Timers fire a few ms late at most, unless the process was paused or got no CPU. */
        const val OWN_DELAY_MS = 20L
        const val MAX_TRIES = 5
    }
}
