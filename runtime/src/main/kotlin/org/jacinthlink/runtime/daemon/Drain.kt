package org.jacinthlink.runtime.daemon

/**
 * Graceful stop: gives notice, tells peers, waits until no work is left or the deadline passed,
 * then closes.
 */
internal class Drain(
    private val shell: HttpDaemonShell,
    private val logic: DaemonLogic,
    private val announcer: Announcer
) {
    fun run() {
        val deadlineMs = shell.clock.nowMs() + shell.settings.drainTimeoutMs
        try {
            Thread.sleep(minOf(logic.drainNoticeMs, shell.settings.drainTimeoutMs))
            logic.onDrain()
            announcer.announce()
            // Calls that were sent before the peers knew are still answered.
            Thread.sleep(GRACE_MS)
            awaitNoWork(deadlineMs)
        } catch (e: Exception) {
            shell.eventLog.record("drain_failed", null, "error" to "$e")
        } finally {
            shell.eventLog.record("drain_ended", null, "open_work" to openWork())
            shell.stop()
        }
    }

    /** A fault of the daemon must not keep the process from stopping. */
    private fun openWork(): Int = runCatching(logic::openWork).getOrDefault(0)

    private fun awaitNoWork(deadlineMs: Long) {
        while (openWork() > 0 && shell.clock.nowMs() < deadlineMs) Thread.sleep(POLL_MS)
    }

    private companion object {
        const val GRACE_MS = 500L
        const val POLL_MS = 50L
    }
}
