package org.jacinthlink.entry.chat

/** What a silent attempt calls for. */
internal sealed interface SilenceStep {
    /** Nothing; a head sends lines. */
    data object None : SilenceStep

    /** Another head is to be tried. [isNew] is true the first time in a silence. */
    data class TryAnother(val isNew: Boolean) : SilenceStep

    /** The head lives, so the connection of its attempt is lost. */
    data object ConnectionLost : SilenceStep
}

/**
 * Distinguishes a head that is late from a connection that is lost.
 *
 * Load patterns: a head is silent for a second under load and goes on; or a single connection loses
 * its packets while its head answers on others.
 */
internal class SilenceWatch {
    private var noticed: ChatAttempt? = null
    private var noticedLineAtMs = 0L
    private var aliveSinceMs: Long? = null

    /**
     * Decides on the open attempts.
     *
     * @param reportedAtMs Time of the latest report of the current attempt's head, on any
     *   connection.
     */
    fun decide(handover: ChatHandover, reportedAtMs: Long, nowMs: Long): SilenceStep {
        val current = handover.current
        val isSilent = current != null && handover.attempts.all { isSilent(it, nowMs) }
        if (current == null || !isSilent) return SilenceStep.None
        val lineAtMs = current.lastLineAtMs
        val isNew = noticed !== current || noticedLineAtMs != lineAtMs
        if (isNew) {
            noticed = current
            noticedLineAtMs = lineAtMs
            aliveSinceMs = null
        }
        if (reportedAtMs - lineAtMs > SILENCE_MS && aliveSinceMs == null) aliveSinceMs = nowMs
        return if (aliveSinceMs?.let { nowMs - it > LOST_MS } == true) {
            SilenceStep.ConnectionLost
        } else {
            SilenceStep.TryAnother(isNew)
        }
    }

    private fun isSilent(attempt: ChatAttempt, nowMs: Long) =
        nowMs - attempt.lastLineAtMs > SILENCE_MS

    companion object {
        /** Heads send a line at least each 250 ms. */
        const val SILENCE_MS = 1_200L

        // TCP may send a lost line again only after some seconds.
        private const val LOST_MS = 5_000L
    }
}
