package org.jacinthlink.router.state

import org.jacinthlink.decision.quarantine.ContentId
import org.jacinthlink.decision.quarantine.ContentQuarantine
import org.jacinthlink.decision.quarantine.HarmfulContent
import org.jacinthlink.platform.store.StoreAnswer
import org.jacinthlink.platform.store.StoreClient
import org.jacinthlink.platform.store.StoreItem
import org.jacinthlink.platform.store.StorePut
import org.jacinthlink.platform.store.StoreTransaction
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.transport.EventLoop

/** The present time on both clocks: the monotonic one, and Unix milliseconds. */
internal class PresentTime(val monotonicMs: Long, val unixMs: Long)

/**
 * Keeps the rejected contents in the store, so that they are still rejected when all routers have
 * restarted. Every router reads them at its start, and the layout leader writes them.
 *
 * An item has the hash of the content in its key, and the end of its rejection in Unix milliseconds
 * as its value. Routers compare it with their own time of day, so a clock that is wrong shortens or
 * lengthens a rejection, to [MAX_REMAINING_MS] at most. When the store has returned from a copy,
 * the items are read again, and those that the copy lacks are written again.
 */
internal class QuarantineStore(
    private val loop: EventLoop,
    private val store: StoreClient,
    private val quarantine: ContentQuarantine,
    private val log: DecisionLog,
    private val isLeader: () -> Boolean,
    private val present: () -> PresentTime
) {
    /** End of the rejection of each content in the store, in Unix milliseconds. */
    private val savedUntilMs = HashMap<ContentId, Long>()
    private var isWriting = false

    init {
        store.onRestored {
            savedUntilMs.clear()
            read()
        }
    }

    /** Reads the rejected contents, until the store has answered. */
    fun read() {
        store.list(PREFIX, null) { answer ->
            if (answer is StoreAnswer.Done) {
                answer.value.items.forEach(::apply)
            } else {
                loop.schedule(RETRY_MS) { read() }
            }
        }
    }

    /** Writes what has changed, if this router is the layout leader; called periodically. */
    fun tick() {
        if (isWriting || !isLeader()) return
        val now = present()
        val added =
            quarantine.harmful(now.monotonicMs).filter { it.id !in savedUntilMs }.take(MAX_CHANGES)
        val expired = savedUntilMs.filterValues { it < now.unixMs }.keys.take(MAX_CHANGES)
        if (added.isNotEmpty() || expired.isNotEmpty()) write(added, expired, now)
    }

    private fun write(added: List<HarmfulContent>, expired: List<ContentId>, now: PresentTime) {
        isWriting = true
        val untilMs = added.associate { it.id to it.untilMs - now.monotonicMs + now.unixMs }
        val puts = untilMs.map { (id, atMs) -> StorePut("$PREFIX$id", "$atMs".toByteArray()) }
        store.commit(
            StoreTransaction(puts = puts, removed = expired.map { "$PREFIX$it" })
        ) { answer ->
            if (answer is StoreAnswer.Done) {
                log.event("contents_saved", "added" to added.size, "expired" to expired.size)
                savedUntilMs.putAll(untilMs)
                savedUntilMs.keys.removeAll(expired.toSet())
                isWriting = false
            } else {
                loop.schedule(RETRY_MS) { isWriting = false }
            }
        }
    }

    private fun apply(item: StoreItem) {
        val id = contentId(item.key.removePrefix(PREFIX)) ?: return
        val text = item.value.toString(Charsets.UTF_8)
        val untilUnixMs = text.toLongOrNull()?.takeIf { it >= 0 } ?: return
        val now = present()
        savedUntilMs[id] = untilUnixMs
        val remainingMs = (untilUnixMs - now.unixMs).coerceAtMost(MAX_REMAINING_MS)
        if (remainingMs <= 0) return
        quarantine.recordReported(HarmfulContent(id, now.monotonicMs + remainingMs))
        log.event("content_rejected", "content" to id, "source" to "store", "ms" to remainingMs)
    }

    private fun contentId(text: String): ContentId? =
        text.toULongOrNull(RADIX)?.let { ContentId(it.toLong()) }

    private companion object {
        const val PREFIX = "quarantine/"
        const val RETRY_MS = 700L
        const val RADIX = 16

        /** Half of the entries that one transaction may have. */
        const val MAX_CHANGES = 16

        /** No content is rejected for longer, whatever an item says. */
        const val MAX_REMAINING_MS = 600_000L
    }
}
