package org.jacinthlink.entry.chat

/** How far one chat request has come, and how long it is worth going on. */
internal class ChatProgress(private val job: ChatJob) {
    private var lastProgressAtMs = 0L

    /** True if a head accepted the request once. */
    var wasAccepted = false
        private set

    /** Time of the latest token, or 0. */
    var lastTokenAtMs = 0L
        private set

    fun accepted(nowMs: Long) {
        if (!wasAccepted) lastProgressAtMs = nowMs
        wasAccepted = true
    }

    fun token(nowMs: Long) {
        lastTokenAtMs = nowMs
        lastProgressAtMs = nowMs
    }

    /** True if an accepted request may wait for a head. */
    fun mayWait(nowMs: Long): Boolean = nowMs - lastProgressAtMs < MAX_RESUME_WAIT_MS

    /** True if a request whose heads have been silent since [silentSinceMs] has to end. */
    fun isOver(silentSinceMs: Long, nowMs: Long): Boolean =
        if (wasAccepted) {
            nowMs - maxOf(lastProgressAtMs, silentSinceMs) >= MAX_RESUME_WAIT_MS
        } else {
            remainingMs(nowMs) <= 0
        }

    /** Time for the answer. A request that a head had accepted is worth finishing late. */
    fun remainingMs(nowMs: Long): Long {
        val remainingMs = job.receivedAtMs + job.caller.workClass.targetMs - nowMs
        return if (wasAccepted) maxOf(remainingMs, RESUME_TIME_MS) else remainingMs
    }

    private companion object {
        // The loss of a head is to be repaired within two seconds.
        const val RESUME_TIME_MS = 2_000L

        // A crashed backend server or a lost zone is back or replaced within this time.
        const val MAX_RESUME_WAIT_MS = 10_000L
    }
}
