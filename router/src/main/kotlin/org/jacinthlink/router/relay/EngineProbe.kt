package org.jacinthlink.router.relay

import kotlin.math.abs
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.paths.isLocalDelay
import org.jacinthlink.decision.paths.probeTimeout
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.transport.EventLoop

/**
 * Tells soon whether an engine lives.
 *
 * A living engine answers within a few ms. One that does not is asked a second time on a new
 * connection, because a lost packet or a connection that went silent is no sign of its end. A
 * silence in which this process stood still says nothing, so the engine is asked again. An answer
 * that comes after the limit tells that the limit is too short for this machine.
 */
internal class EngineProbe(
    private val loop: EventLoop,
    private val engines: EngineClient,
    private val clockMs: () -> Long
) {
    private val limit = probeTimeout()
    private val recent = ArrayDeque<Question>()

    /** Asks [server] for a report; null if it is silent, and a report after that if it is late. */
    fun requestReport(server: BackendServer, onReport: (EngineReport?) -> Unit) = requestReport(server, 0, onReport)

    /** Asks [server] for a report, with time for a process that has just started. */
    fun requestReportWithLongTimeout(server: BackendServer, onReport: (EngineReport?) -> Unit) =
        engines.report(server, PATIENT_MS, false, onReport)

    private fun requestReport(server: BackendServer, tries: Int, onReport: (EngineReport?) -> Unit) {
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

        private fun isLocalDelay(): Boolean {
            val together = recent.filter { abs(it.askedAtMs - askedAtMs) <= TOGETHER_MS }
            return isLocalDelay(together.size, together.count { !it.isAnswered })
        }

        fun timedOut() {
            if (isAnswered || isOver) return
            if (delays < MAX_DELAYS && isLocalDelay()) {
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
                requestReport(server, tries + 1, onReport)
            } else {
                onReport(null)
            }
        }
    }

    private companion object {
        /** The second question still has most of the time for its answer. */
        const val SECOND_DIVISOR = 4
        const val PATIENT_MS = 500L

        /** Questions of one look at a path, or of two. */
        const val REMEMBERED = 64
        const val TOGETHER_MS = 30L
        const val MAX_DELAYS = 3

        /** Answers that come later than the longest limit say nothing. */
        const val LATEST_MS = 600L

        /** Timers are late by a few ms unless the process was stopped or had no processor. */
        const val OWN_DELAY_MS = 20L
        const val MAX_TRIES = 5
    }
}
