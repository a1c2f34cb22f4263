package org.jacinthlink.entry.chat

import org.jacinthlink.decision.fleet.ServerStart
import org.jacinthlink.decision.quarantine.ContentId
import org.jacinthlink.decision.quarantine.RequestContent
import org.jacinthlink.decision.quarantine.contentQuarantine

/**
 * Messages that crash the backend servers that begin to answer them, whatever else a request holds.
 *
 * Whole requests that crash backend servers are in the [CrashRegister].
 */
internal class HarmfulParts {
    // Guarded by this.
    private val quarantine = contentQuarantine()

    /** Records [crash] of a backend server, seen by this entry or by another one. */
    @Synchronized
    fun crashed(crash: SeenCrash, nowMs: Long) {
        if (crash.cleared || crash.parts.isEmpty()) return
        val content = contentOf(crash.fingerprint, crash.parts) ?: return
        quarantine.recordLoss(ServerStart(crash.crashId, 0), content, nowMs)
    }

    /** Records that the first token of [chat] has arrived. */
    @Synchronized
    fun begun(chat: ChatRequest, nowMs: Long) {
        contentOf(chat.fingerprint, chat.parts)?.let { quarantine.recordBegun(it, nowMs) }
    }

    /** True if a message of [chat] before the last one is harmful. */
    @Synchronized
    fun areIn(chat: ChatRequest, nowMs: Long): Boolean {
        val content = contentOf(chat.fingerprint, chat.parts) ?: return false
        return quarantine.harmfulIn(content, nowMs)?.id in content.parts
    }

    private fun contentOf(fingerprint: String, parts: List<String>): RequestContent? {
        val whole = contentId(fingerprint) ?: return null
        return RequestContent(whole, parts.mapNotNull(::contentId))
    }

    /** The first 64 bits of the hash that [digits] give in hexadecimal. */
    private fun contentId(digits: String): ContentId? =
        digits.take(ID_DIGITS).toULongOrNull(RADIX)?.let { ContentId(it.toLong()) }

    private companion object {
        const val ID_DIGITS = 16
        const val RADIX = 16
    }
}
