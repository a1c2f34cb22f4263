package org.jacinthlink.router.relay

import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.paths.StalledPaths
import org.jacinthlink.decision.paths.StreamActivity
import org.jacinthlink.decision.paths.confirmsSuspicion
import org.jacinthlink.decision.paths.maySuspect
import org.jacinthlink.decision.paths.shouldLeaveUnresponsiveServer
import org.jacinthlink.decision.paths.stallDetector
import org.jacinthlink.decision.retry.MoveReason
import org.jacinthlink.router.DecisionLog

/**
 * Streams in progress, with the detection of stalled paths.
 *
 * When a server of a path dies, all streams of the path stop at once, long before their engines
 * time out. When a path has delivered no event for longer than the pauses that are usual for it,
 * its servers are probed, each by a few routers. Streams leave the path if one of its servers is
 * unresponsive, but they stay if the path is only slow.
 */
internal class StreamTable(private val log: DecisionLog, private val prober: PathProber) {
    private val streams = LinkedHashSet<StreamRelay>()
    private val stallDetector = stallDetector()
    private var lastTickMs: Long? = null
    private var graceUntilMs = 0L
    private var lastMoveMs = 0L

    /** Number of streams in progress. */
    val size: Int get() = streams.size

    fun add(stream: StreamRelay) {
        streams.add(stream)
    }

    fun remove(stream: StreamRelay) {
        streams.remove(stream)
    }

    /**
     * Moves the stalled streams away from paths through the unresponsive server at [address].
     * Streams that no other path takes at once stay, because the server may still go on.
     *
     * @param isNewlyDetected True when the server has just been found unresponsive; a shorter time
     *   without an event then counts as a stall.
     */
    fun moveFromUnresponsive(address: String, nowMs: Long, isNewlyDetected: Boolean) {
        streams.filter { it.newestAttempt.isSilentAt(address, nowMs, isNewlyDetected) }
            .forEach { it.move(MoveReason.ServerSilent, nowMs) }
    }

    /**
     * True if streams have received events through [address] and all of them have stalled, although
     * their paths pass through none of the other [unresponsive] servers.
     */
    fun areStreamsStalled(address: String, unresponsive: Set<String>, nowMs: Long): Boolean =
        confirmsSuspicion(
            streams.flatMap { it.openAttempts }
                .filter { it.hasEvents && it.path.maySuspect(address, unresponsive) }
                .map { nowMs - it.lastActivityAtMs }
        )

    /** Looks for stalled paths; called every [TICK_MS] milliseconds. */
    fun tick(nowMs: Long) {
        val sinceTickMs = nowMs - (lastTickMs ?: nowMs)
        lastTickMs = nowMs
        // After a pause of this process, events that are buffered in its sockets are read first.
        if (sinceTickMs > OWN_PAUSE_MS) {
            graceUntilMs = nowMs + OWN_PAUSE_MS
            log.event("own_pause", "ms" to sinceTickMs, "streams" to streams.size)
        }
        if (nowMs < graceUntilMs || streams.isEmpty()) return
        val attempts = streams.flatMap { it.openAttempts }
        val paths = attempts.map { it.path }.distinct()
        val activities =
            attempts.map { StreamActivity(it.path.id, it.lastActivityAtMs, it.hasEvents) }
        prober.probeRemaining(activities, paths, nowMs)
        stallDetector.pathsToProbe(activities, nowMs).forEach { reportStall(it, paths, nowMs) }
    }

    /**
     * Moves one of the streams that [shouldLeave] applies to, in each period, to another path.
     *
     * A move interrupts a stream for a shorter time than the end of its server does. The streams
     * are moved one by one so that the other paths do not have to process many prompts at once.
     */
    fun moveFromDraining(
        nowMs: Long,
        shouldLeave: (StreamRelay) -> Boolean
    ) {
        if (nowMs - lastMoveMs < MOVE_PERIOD_MS) return
        val reason = MoveReason.ServerLeaves
        val next = streams.firstOrNull { shouldLeave(it) && it.mayMove(reason, nowMs) } ?: return
        lastMoveMs = nowMs
        next.move(reason, nowMs)
    }

    /**
     * Moves one stream that has waited too long for its first event to a path that responds
     * promptly.
     *
     * Load pattern: a server of a path becomes slow while requests are on their way to it.
     */
    fun moveAwaitingFirstEvent(nowMs: Long) {
        if (nowMs < graceUntilMs) return
        val reason = MoveReason.SlowToBegin
        streams.firstOrNull { it.isSlowToBegin(nowMs) && it.mayMove(reason, nowMs) }
            ?.move(reason, nowMs)
    }

    private fun StreamRelay.isSlowToBegin(nowMs: Long): Boolean {
        val newest = newestAttempt ?: return false
        val sinceMs = openAttempts.maxOf { it.lastActivityAtMs }
        return !newest.hasEvents && nowMs - sinceMs > FIRST_EVENT_LIMIT_MS
    }

    private fun StreamAttempt?.isSilentAt(
        address: String,
        nowMs: Long,
        isNewlyDetected: Boolean
    ): Boolean =
        this != null &&
            path.passesThrough(address) &&
            shouldLeaveUnresponsiveServer(nowMs - lastActivityAtMs, isNewlyDetected)

    private fun reportStall(stalled: StalledPaths, paths: List<ServingPath>, nowMs: Long) {
        log.event(
            "path_silent",
            "path" to stalled.name,
            "streams" to stalled.streams,
            "silent_ms" to stalled.stalledMs,
            "limit_ms" to stalled.timeoutMs
        )
        prober.probe(stalled, paths.filter { it.id in stalled.paths }, nowMs)
    }

    companion object {
        /** Period of [tick]. */
        const val TICK_MS = 20L
        private const val MOVE_PERIOD_MS = 40L
        private const val OWN_PAUSE_MS = 70L

        /** Most first events arrive within 125 ms; those within 500 ms are still on time. */
        private const val FIRST_EVENT_LIMIT_MS = 300L
    }
}
