package org.jacinthlink.decision.retry

import org.jacinthlink.decision.fleet.ServerStart

/**
 * Pauses that backend servers have requested from this router with a rejection.
 *
 * Load pattern: a full server rejects one request of many that wait for it, and states when it
 * wants the next one. Requests that are sent earlier only use up the retry budget and the server's
 * time. If all waiting requests were sent when the pause ends, the server would be full again at
 * once. So the number of requests that may be sent after a pause doubles from step to step.
 */
class ServerPauses internal constructor() {
    private val pauses = HashMap<ServerStart, Pause>()

    /** Records that [server] wants no requests for [durationMs]. The longer pause applies. */
    fun pause(server: ServerStart, durationMs: Long, nowMs: Long) {
        pauses.values.removeIf { it.isOver(nowMs) }
        val endsAtMs = nowMs + durationMs
        val known = pauses[server]
        if (known == null || known.endsAtMs < endsAtMs) pauses[server] = Pause(endsAtMs)
    }

    /** True if a request may be sent to [server]. */
    fun allows(server: ServerStart, nowMs: Long): Boolean = pauses[server]?.allows(nowMs) ?: true

    /** Records that a request has been sent to [server]. */
    fun recordSent(server: ServerStart, nowMs: Long) {
        val pause = pauses[server] ?: return
        if (pause.isOver(nowMs)) pauses.remove(server) else pause.sentCount++
    }

    /** Time until the pause of [server] ends; 0 if there is none. */
    fun remainingMs(server: ServerStart, nowMs: Long): Long =
        pauses[server]?.let { (it.endsAtMs - nowMs).coerceAtLeast(0) } ?: 0

    private class Pause(val endsAtMs: Long) {
        /** Number of requests sent since the end of the pause. */
        var sentCount = 0

        fun allows(nowMs: Long): Boolean =
            when {
                nowMs < endsAtMs -> false
                isOver(nowMs) -> true
                else -> sentCount < (2 shl step(nowMs)) - 1
            }

        fun isOver(nowMs: Long): Boolean = nowMs >= endsAtMs && step(nowMs) >= STEPS

        private fun step(nowMs: Long): Int =
            ((nowMs - endsAtMs) / STEP_MS).coerceAtMost(STEPS.toLong()).toInt()
    }

    private companion object {
        /** About the time from sending a request to its first event on a path that is not full. */
        const val STEP_MS = 100L

        /** After this many steps, any number of requests may be sent. */
        const val STEPS = 6
    }
}

/** Creates a record without pauses. */
fun serverPauses(): ServerPauses = ServerPauses()
