package org.jacinthlink.decision.quarantine

import org.jacinthlink.api.RequestId

/**
 * Open runs of each content, and the contents that were answered well. Not safe for use by several
 * threads.
 *
 * Until a content was answered once, each of its open runs may crash a backend server. So its
 * crashes and its open runs together stay within the crashes that are allowed, and all runs but the
 * first are isolated: of two crashes one is then due to the content beyond doubt.
 */
class ContentRuns(private val limits: CrashLimits = CrashLimits()) {
    private val open = LinkedHashMap<String, List<OpenRun>>()
    private val answered = LinkedHashMap<String, Long>()

    /** Runs of the content of [run] that were permitted, but for [run] itself. */
    fun others(run: ContentRun, nowMs: Long): List<ContentRun> =
        openRuns(run.fingerprint, nowMs).map { it.run }.filter { it.requestId != run.requestId }

    /** Says whether and how [run] may start after [crashes] of its content. */
    fun permit(run: ContentRun, crashes: Int, nowMs: Long): RunMode {
        ended(run.fingerprint, run.requestId)
        if (crashes > 0) answered.remove(run.fingerprint)
        val others = openRuns(run.fingerprint, nowMs)
        return when {
            crashes >= limits.refusedAtCrashes -> RunMode.REFUSED
            wasAnswered(run.fingerprint, nowMs) -> RunMode.NORMAL
            crashes + others.size >= limits.refusedAtCrashes -> RunMode.WAITING
            else -> {
                put(open, run.fingerprint, others + OpenRun(run, nowMs))
                if (crashes + others.size > 0) RunMode.ISOLATED else RunMode.NORMAL
            }
        }
    }

    /** Notes that the run of [requestId] is over. */
    fun ended(fingerprint: String, requestId: RequestId) {
        open.computeIfPresent(fingerprint) { _, runs ->
            runs.filter { it.run.requestId != requestId }.ifEmpty { null }
        }
    }

    /** Notes that a run of [fingerprint] ended with a whole answer. */
    fun answered(fingerprint: String, nowMs: Long) = put(answered, fingerprint, nowMs)

    /** True if [fingerprint] was answered within the time for which crashes are remembered. */
    fun wasAnswered(fingerprint: String, nowMs: Long): Boolean =
        answered[fingerprint]?.let { nowMs - it < limits.expiryMs } ?: false

    private fun openRuns(fingerprint: String, nowMs: Long): List<OpenRun> =
        open[fingerprint].orEmpty().filter { nowMs - it.sinceMs < limits.expiryMs }

    // Puts the newest last, so that the oldest is dropped when there are too many.
    private fun <T> put(map: LinkedHashMap<String, T>, fingerprint: String, value: T) {
        map.remove(fingerprint)
        map[fingerprint] = value
        if (map.size > limits.maxFingerprints) map.remove(map.keys.first())
    }

    private data class OpenRun(val run: ContentRun, val sinceMs: Long)
}
