package org.jacinthlink.decision.quarantine

import org.jacinthlink.decision.fleet.ServerStart

/** A content that is rejected until [untilMs]. */
data class HarmfulContent(val id: ContentId, val untilMs: Long)

/**
 * Contents that are rejected because they end the servers that begin to answer them.
 *
 * It consists of what this instance and the others have seen: servers that were lost, with the
 * requests that they had not begun, and contents that were begun. See [harmfulContents] for the
 * decision. This class is not thread-safe.
 */
class ContentQuarantine internal constructor(private val limits: QuarantineLimits) {
    private val losses = LinkedHashMap<ServerStart, ServerLoss>()
    private val begunAtMs = LinkedHashMap<ContentId, Long>()
    private var newestBegunAtMs: Long? = null

    /** Number of losses with each suspected content. */
    private var lossCounts = emptyMap<ContentId, Int>()

    /** End of the rejection of the contents that other instances have found harmful. */
    private val reportedUntilMs = HashMap<ContentId, Long>()
    private var found = emptyMap<ContentId, Long>()
    private var foundAtMs: Long? = null

    /** Records that [server] was lost before it began to answer a request with [suspect]. */
    fun recordLoss(server: ServerStart, suspect: RequestContent, nowMs: Long) =
        recordLoss(ServerLoss(server, nowMs, setOf(suspect)))

    /** Records [loss]. Its suspects are added to those of the same loss that are known. */
    fun recordLoss(loss: ServerLoss) {
        val known = losses.remove(loss.server)
        val suspects = (known?.suspects.orEmpty() + loss.suspects).take(limits.maxSuspects).toSet()
        if (suspects == known?.suspects) {
            losses[loss.server] = known
            return
        }
        losses[loss.server] = ServerLoss(loss.server, known?.atMs ?: loss.atMs, suspects)
        if (losses.size > limits.maxLosses) losses.remove(losses.keys.first())
        lossesChanged()
    }

    /** Records that a server began to answer a request with [content]. */
    fun recordBegun(content: RequestContent, nowMs: Long) =
        content.ids.forEach { recordBegun(it, nowMs) }

    /** Records that a server began to answer a request with the content [id] at [atMs]. */
    fun recordBegun(id: ContentId, atMs: Long) {
        val lastMs = begunAtMs[id]
        if (lastMs != null && lastMs > atMs) return
        begunAtMs.remove(id)
        begunAtMs[id] = atMs
        newestBegunAtMs = maxOf(newestBegunAtMs ?: atMs, atMs)
        if (begunAtMs.size > limits.maxBegun) begunAtMs.remove(begunAtMs.keys.first())
        reportedUntilMs.remove(id)
        if (lastMs == null && id in lossCounts || id in found) foundAtMs = null
    }

    /**
     * Records that another instance rejects [content]. Of a content that was ever begun, this
     * instance judges by the losses that it knows, because the other one may not know of that.
     */
    fun recordReported(content: HarmfulContent) {
        if (content.id in begunAtMs) return
        reportedUntilMs.merge(content.id, content.untilMs, ::maxOf)
        while (reportedUntilMs.size > limits.maxLosses) {
            reportedUntilMs.remove(reportedUntilMs.minBy { it.value }.key)
        }
    }

    /** The harmful content of a request with [content], or null if the request may be sent. */
    fun harmfulIn(content: RequestContent, nowMs: Long): HarmfulContent? {
        if (losses.isEmpty() && reportedUntilMs.isEmpty()) return null
        return content.ids.firstNotNullOfOrNull { id ->
            rejectedUntilMs(id, nowMs)?.let { HarmfulContent(id, it) }
        }
    }

    /** True if one more loss may make a content of a request with [content] harmful. */
    fun isSuspect(content: RequestContent): Boolean =
        content.ids.any { it !in begunAtMs && (lossCounts[it] ?: 0) >= limits.partLosses - 1 }

    /** All contents that are rejected at [nowMs]. */
    fun harmful(nowMs: Long): List<HarmfulContent> =
        (found(nowMs).keys + reportedUntilMs.keys).mapNotNull { id ->
            rejectedUntilMs(id, nowMs)?.let { HarmfulContent(id, it) }
        }

    /** Losses since [sinceMs], with the suspects of most losses first. */
    fun lossesSince(sinceMs: Long): List<ServerLoss> =
        losses.values.filter { it.atMs >= sinceMs }.map { loss ->
            loss.copy(suspects = loss.suspects.sortedByDescending(::lossCount).toSet())
        }

    /** When each suspect of the losses since [sinceMs] was last begun, if it was. */
    fun begunSuspects(sinceMs: Long): Map<ContentId, Long> =
        losses.values.filter { it.atMs >= sinceMs }
            .flatMap { it.suspectIds }.distinct()
            .mapNotNull { id -> begunAtMs[id]?.let { id to it } }
            .toMap()

    private fun lossesChanged() {
        lossCounts = losses.values.flatMap { it.suspectIds }.groupingBy { it }.eachCount()
        foundAtMs = null
    }

    private fun lossCount(content: RequestContent): Int =
        content.ids.filter { it !in begunAtMs }.maxOfOrNull { lossCounts[it] ?: 0 } ?: 0

    private fun rejectedUntilMs(id: ContentId, nowMs: Long): Long? {
        val foundUntilMs = found(nowMs)[id]?.let { it + limits.retentionMs }
        return listOfNotNull(foundUntilMs, reportedUntilMs[id]).maxOrNull()?.takeIf { it > nowMs }
    }

    /** The harmful contents; they are determined anew after each change, and periodically. */
    private fun found(nowMs: Long): Map<ContentId, Long> {
        val lastMs = foundAtMs
        if (lastMs == null || nowMs - lastMs >= PERIOD_MS) {
            if (losses.values.removeIf { nowMs - it.atMs >= limits.retentionMs }) lossesChanged()
            found =
                harmfulContents(
                    losses.values,
                    BegunContents(begunAtMs, newestBegunAtMs),
                    nowMs,
                    limits
                )
            foundAtMs = nowMs
        }
        return found
    }

    private companion object {
        /** A content that was begun before can become harmful without a new record. */
        const val PERIOD_MS = 500L
    }
}

/** Creates a quarantine without any content. */
fun contentQuarantine(limits: QuarantineLimits = QuarantineLimits()): ContentQuarantine =
    ContentQuarantine(limits)
