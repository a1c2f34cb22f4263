package org.jacinthlink.router.state

import org.jacinthlink.decision.watch.PendingWatch
import org.jacinthlink.decision.watch.StorePosition
import org.jacinthlink.decision.watch.WatchRenewal
import org.jacinthlink.platform.store.StoreAnswer
import org.jacinthlink.platform.store.StoreChange
import org.jacinthlink.platform.store.StoreChanges
import org.jacinthlink.platform.store.StoreClient
import org.jacinthlink.platform.store.StoreItem
import org.jacinthlink.platform.store.StoreListing
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.transport.EventLoop

/**
 * Receives the items under a prefix of the store, and their changes.
 *
 * A listing may have many pages, and any item may be as long as the store allows. So only the
 * decoded values are kept until the last page.
 *
 * @param T What the listener keeps of an item.
 */
internal interface PrefixListener<T : Any> {
    /** What is to be kept of [item], or null if it is of no use or cannot be read. */
    fun decode(item: StoreItem): T?

    /** Takes all values, after a start or when the store's history of changes is lost. */
    fun onSnapshot(values: List<T>)

    /** Takes a change since the last snapshot. */
    fun onChange(change: StoreChange)
}

/**
 * Watches a prefix of the store: lists its items once, then waits for changes by long polling.
 *
 * The store answers a call after its waiting time even if nothing has changed, so that a silent
 * connection is detected. [tick] ends calls that have become too old, or that have missed a change
 * that a peer has received. When the store has returned from a copy, the prefix is listed again.
 *
 * @property waitMs Waiting time of the next call.
 * @param pauseMs Pause after changes, so that changes in quick succession share a call.
 */
internal class PrefixWatcher<T : Any>(
    private val loop: EventLoop,
    private val store: StoreClient,
    private val log: DecisionLog,
    private val prefix: String,
    private val pauseMs: Long,
    private var waitMs: Long,
    private val clockMs: () -> Long,
    private val listener: PrefixListener<T>
) {
    private var failures = 0

    /** Identifies the calls whose answers are still of use. */
    private var generation = 0

    /** Number of calls of this [generation] that wait for changes; a renewal adds one. */
    private var openWatches = 0
    private var pending: PendingWatch? = null
    private val renewal = WatchRenewal()

    /** When the store last confirmed the listener's state, or null before its first answer. */
    var confirmedAtMs: Long? = null
        private set

    /** Newest era of the store that is known, or 0. */
    val era: Long get() = store.era

    /** Revision of the newest change in this era that is known here, or 0. */
    var changeRevision = 0L
        private set

    init {
        store.onRestored(::onRestored)
    }

    /** Starts to watch the prefix, from a new listing. */
    fun start() = list(null, null, nextGeneration())

    /**
     * Renews a watch that no longer seems to be answered; called periodically. The former call may
     * still be answered, and the first answer counts.
     *
     * @param waitMs Waiting time of further calls. A pending call that is older is renewed.
     * @param peerPosition Position of the newest change that a peer has received.
     */
    fun tick(nowMs: Long, waitMs: Long, peerPosition: StorePosition) {
        this.waitMs = waitMs
        val watch = pending?.copy(limitMs = waitMs + store.timeoutMs) ?: return
        val cause = renewal.cause(watch, peerPosition, nowMs) ?: return
        log.event(
            "watch_renewed",
            "prefix" to prefix,
            "cause" to cause.name.lowercase(),
            "age_ms" to nowMs - watch.sentAtMs,
            "era" to watch.position.era,
            "revision" to watch.position.revision,
            "peer_era" to peerPosition.era,
            "peer_revision" to peerPosition.revision
        )
        store.discardIdleConnections()
        watch(watch.position.revision, generation)
    }

    /** Makes the answers to all former calls be ignored. */
    private fun nextGeneration(): Int {
        pending = null
        openWatches = 0
        return ++generation
    }

    private fun onRestored() {
        log.event(
            "store_restored",
            "prefix" to prefix,
            "era" to store.era,
            "former_revision" to changeRevision
        )
        changeRevision = 0
        start()
    }

    private fun list(after: String?, earlier: PartialListing<T>?, ownGeneration: Int) {
        store.list(prefix, after) { answer ->
            if (ownGeneration != generation) return@list
            when (answer) {
                is StoreAnswer.Done -> onPage(answer.value, earlier, ownGeneration)
                else -> retry("list", answer, ownGeneration) { start() }
            }
        }
    }

    private fun onPage(
        page: StoreListing,
        earlier: PartialListing<T>?,
        ownGeneration: Int
    ) {
        val listing = (earlier ?: PartialListing(emptyList(), page.revision, 0)).with(page)
        if (page.isTruncated && page.items.isNotEmpty()) {
            list(page.items.last().key, listing, ownGeneration)
        } else {
            onConfirmed()
            changeRevision = maxOf(changeRevision, listing.newestChange)
            // The listener comes last, so that a fault in it does not end the watch.
            watch(listing.revision, ownGeneration)
            listener.onSnapshot(listing.values)
        }
    }

    private fun PartialListing<T>.with(page: StoreListing): PartialListing<T> {
        val newest = page.items.maxOfOrNull { it.revision } ?: 0
        return PartialListing(
            values + page.items.mapNotNull(listener::decode),
            revision,
            maxOf(newestChange, newest)
        )
    }

    private fun watch(revision: Long, ownGeneration: Int) {
        val position = StorePosition(store.era, revision)
        pending = PendingWatch(position, clockMs(), waitMs + store.timeoutMs)
        openWatches++
        store.watch(prefix, revision, waitMs) { answer ->
            if (ownGeneration == generation) onWatchAnswer(answer, revision)
        }
    }

    private fun onWatchAnswer(answer: StoreAnswer<StoreChanges>, revision: Long) {
        openWatches--
        when (answer) {
            is StoreAnswer.Done -> {
                renewal.answered()
                onChanges(answer.value, revision, nextGeneration())
            }
            StoreAnswer.HistoryGone -> {
                log.event("store_history_gone", "prefix" to prefix, "revision" to revision)
                start()
            }
            StoreAnswer.TooLarge -> {
                log.event("store_changes_too_large", "prefix" to prefix, "revision" to revision)
                listAnew()
            }
            else -> if (openWatches == 0) onWatchFailed(answer, revision)
        }
    }

    /** Takes all items from a listing, whose pages are shorter than the changes were. */
    private fun listAnew() {
        val ownGeneration = nextGeneration()
        loop.schedule(pauseMs) { if (ownGeneration == generation) start() }
    }

    private fun onWatchFailed(answer: StoreAnswer<StoreChanges>, revision: Long) {
        val ownGeneration = nextGeneration()
        retry("watch", answer, ownGeneration) { watch(revision, ownGeneration) }
    }

    private fun onChanges(changes: StoreChanges, revision: Long, ownGeneration: Int) {
        onConfirmed()
        val next = maxOf(revision, changes.revision)
        if (changes.changes.isEmpty()) {
            watch(next, ownGeneration)
        } else {
            loop.schedule(pauseMs) { if (ownGeneration == generation) watch(next, ownGeneration) }
        }
        changes.changes.forEach {
            changeRevision = maxOf(changeRevision, it.revision)
            listener.onChange(it)
        }
    }

    private fun onConfirmed() {
        if (failures > 0) log.event("store_regained", "prefix" to prefix, "failures" to failures)
        failures = 0
        confirmedAtMs = clockMs()
    }

    private fun retry(
        call: String,
        answer: StoreAnswer<*>,
        ownGeneration: Int,
        action: () -> Unit
    ) {
        failures++
        if (failures == 1) {
            log.event("store_lost", "prefix" to prefix, "call" to call, "answer" to answer)
        }
        val delayMs = (FIRST_RETRY_MS * failures).coerceAtMost(MAX_RETRY_MS)
        loop.schedule(delayMs) { if (ownGeneration == generation) action() }
    }

    /**
     * The pages of a listing that have been read.
     *
     * @property revision Revision of the first page, at which the watch starts: pages are not an
     *   atomic snapshot.
     * @property newestChange Revision of the newest change of the items.
     */
    private class PartialListing<T>(val values: List<T>, val revision: Long, val newestChange: Long)

    companion object {
        /** Waiting time of a call if nothing requires a shorter one. */
        const val MAX_WAIT_MS = 10_000L
        private const val FIRST_RETRY_MS = 100L
        private const val MAX_RETRY_MS = 800L
    }
}
