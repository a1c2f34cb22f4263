package org.jacinthlink.entry.chat

import org.jacinthlink.api.StreamEvent
import org.jacinthlink.decision.quarantine.RunMode

/** Whether and how the content of one chat request may run, with the crashes that it caused. */
internal class ChatPermit(private val job: ChatJob, private val parts: ChatParts) {
    private var granted: RunMode? = null
    private var hasCrashed = false
    private var isAsking = false

    /** True while the content waits for other runs of it. */
    var isWaiting = false
        private set

    /** How the content may run by the crashes that are known. */
    fun mode(nowMs: Long): RunMode = parts.crashes.mode(job.chat, nowMs)

    /** True if an attempt has to run isolated; null if it may not run now. */
    fun isIsolated(nowMs: Long): Boolean? {
        val mode = mode(nowMs)
        val permitted = granted
        return if (mode == RunMode.REFUSED || permitted == null) {
            null
        } else {
            hasCrashed || RunMode.ISOLATED in setOf(mode, permitted)
        }
    }

    /** Asks for a permit, unless that is under way. [onAnswer] has to call [answered]. */
    fun ask(onAnswer: (RunMode) -> Unit) {
        if (isAsking) return
        isAsking = true
        isWaiting = false
        parts.permits.request(job.chat.fingerprint, job.requestId, onAnswer)
    }

    fun answered(mode: RunMode) {
        isAsking = false
        isWaiting = mode == RunMode.WAITING
        if (mode != RunMode.REFUSED && mode != RunMode.WAITING) granted = mode
    }

    /** Records a crash in [attempt], after which each run needs another permit. */
    fun crashed(attempt: ChatAttempt, event: StreamEvent.Refused, hasTokens: Boolean, nowMs: Long) {
        val suspectParts = if (hasTokens) emptyList() else job.chat.parts
        val crash =
            SeenCrash(
                job.chat.fingerprint,
                attempt.isolated,
                crashId(attempt, event),
                parts = suspectParts
            )
        hasCrashed = true
        granted = null
        parts.crashes.crashed(crash, nowMs)
    }

    // Sidecars of earlier versions send no id.
    private fun crashId(attempt: ChatAttempt, event: StreamEvent.Refused) =
        event.crashId.ifEmpty { "${job.requestId.value}/${attempt.number}" }
}
