package org.jacinthlink.decision.quarantine

import org.jacinthlink.api.RequestId

/**
 * Open runs of each content, and the contents that were answered in full. This class is not
 * thread-safe.
 *
 * Until a content was answered once, each of its open runs may crash a backend server. Its crashes
 * and open runs together are therefore limited to the number of crashes at which it is refused. All
 * runs but the first are isolated, so that at least one of two crashes is certainly caused by the
 * content.
 */
class ContentRuns(private val limits: CrashLimits = CrashLimits()) {
    private val open = LinkedHashMap<String, List<OpenRun>>()
    private val answeredAtMs = LinkedHashMap<String, Long>()

    /** Returns the open runs of the content of [run], except [run] itself. */
    fun others(run: ContentRun, nowMs: Long): List<ContentRun> =
        openRuns(run.fingerprint, nowMs).map { it.run }.filter { it.requestId != run.requestId }

    /** Decides whether and how [run] may start after [crashes] of its content. */
    fun permit(run: ContentRun, crashes: Int, nowMs: Long): RunMode {
        ended(run.fingerprint, run.requestId)
        if (crashes > 0) answeredAtMs.remove(run.fingerprint)
        val others = openRuns(run.fingerprint, nowMs)
        return when {
            crashes >= limits.refusalThreshold -> RunMode.REFUSED
            wasAnswered(run.fingerprint, nowMs) -> RunMode.NORMAL
            crashes + others.size >= limits.refusalThreshold -> RunMode.WAITING
            else -> {
                put(open, run.fingerprint, others + OpenRun(run, nowMs))
                if (crashes + others.size > 0) RunMode.ISOLATED else RunMode.NORMAL
            }
        }
    }

    /** Records that the run of [requestId] has ended. */
    fun ended(fingerprint: String, requestId: RequestId) {
        open.computeIfPresent(fingerprint) { _, runs ->
            runs.filter { it.run.requestId != requestId }.ifEmpty { null }
        }
    }

    /** Records that a run of [fingerprint] ended with a complete answer. */
    fun answered(fingerprint: String, nowMs: Long) = put(answeredAtMs, fingerprint, nowMs)

    /** True if [fingerprint] was answered within the time for which crashes count. */
    fun wasAnswered(fingerprint: String, nowMs: Long): Boolean =
        answeredAtMs[fingerprint]?.let { nowMs - it < limits.expiryMs } ?: false

    private fun openRuns(fingerprint: String, nowMs: Long): List<OpenRun> =
        open[fingerprint].orEmpty().filter { nowMs - it.sinceMs < limits.expiryMs }

    // Inserts the newest entry last, so that the oldest one is evicted when there are too many.
    private fun <T> put(map: LinkedHashMap<String, T>, fingerprint: String, value: T) {
        map.remove(fingerprint)
        map[fingerprint] = value
        if (map.size > limits.maxFingerprints) map.remove(map.keys.first())
    }

    private data class OpenRun(val run: ContentRun, val sinceMs: Long)
}
