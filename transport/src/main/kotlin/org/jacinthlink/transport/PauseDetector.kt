package org.jacinthlink.transport

/**
 * Detects that the event loop did not run for a while.
 *
 * Load pattern: clients send requests while a process is paused or busy with its start, and some
 * give up. Afterwards the process reads a request before it reads that its connection has been
 * closed, and would pass on requests that nobody waits for.
 */
internal class PauseDetector(startedAtMs: Long) {
    private var lastBeatMs = startedAtMs
    private var catchesUpUntilMs = startedAtMs

    /** Records that the process runs; called every [PERIOD_MS] milliseconds. */
    fun beat(nowMs: Long) {
        if (nowMs - lastBeatMs > PAUSE_MS) catchesUpUntilMs = nowMs + CATCH_UP_MS
        lastBeatMs = nowMs
    }

    /** True if requests that are read now may have been sent long ago. */
    fun isCatchingUp(nowMs: Long): Boolean =
        nowMs < catchesUpUntilMs || nowMs - lastBeatMs > PAUSE_MS

    companion object {
        const val PERIOD_MS = 50L

        /** A shorter pause is too short for a client to give up. */
        private const val PAUSE_MS = 150L

        /** Connections and requests of the time of a pause are read within this time. */
        private const val CATCH_UP_MS = 500L
    }
}
