package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.paths.StalledPaths
import org.jacinthlink.decision.paths.StreamActivity
import org.jacinthlink.decision.paths.confirmsSuspicion
import org.jacinthlink.decision.paths.shouldLeaveUnresponsiveServer
import org.jacinthlink.decision.paths.stallDetector
import org.jacinthlink.router.DecisionLog

/**
 * Streams that are under way, and the watch for paths that have fallen silent.
 *
 * All streams of a path stop at once when one of its servers dies, long before their engines give
 * up. The servers of a path without any event are asked as soon as that cannot be the pace of its
 * engines; streams leave it when one of them is silent, and a slow path is not left.
 */
internal class StreamTable(
    private val log: DecisionLog,
    private val onSilentPath: (servers: List<BackendServer>) -> Unit
) {
    private val streams = LinkedHashSet<StreamRelay>()
    private val silences = stallDetector()
    private var lastTickMs: Long? = null
    private var graceUntilMs = 0L
    private var lastMoveMs = 0L

    /** Number of streams under way. */
    val size: Int get() = streams.size

    /** Adds a stream. */
    fun add(stream: StreamRelay) {
        streams.add(stream)
    }

    /** Removes a stream. */
    fun remove(stream: StreamRelay) {
        streams.remove(stream)
    }

    /**
     * Lets the streams that stand still at the silent server at [address] leave their paths.
     *
     * @param isNewlyDetected True at the moment when the server is found silent.
     */
    fun moveFromUnresponsive(address: String, nowMs: Long, isNewlyDetected: Boolean) {
        streams.filter { it.passesThrough { part -> part == address } }
            .filter { shouldLeaveUnresponsiveServer(nowMs - it.lastActivityAtMs, isNewlyDetected) }
            .forEach { it.leavePath("server silent") }
    }

    /** True if the streams that have flowed through [address] stand still. */
    fun areStreamsStalled(address: String, nowMs: Long): Boolean =
        confirmsSuspicion(
            streams.filter { it.hasReceivedEvents && it.passesThrough { part -> part == address } }
                .map { nowMs - it.lastActivityAtMs }
        )

    /** Looks for silent paths; called each [TICK_MS]. */
    fun tick(nowMs: Long) {
        val sinceTickMs = nowMs - (lastTickMs ?: nowMs)
        lastTickMs = nowMs
        // After a pause of this process, its own sockets have to be read first.
        if (sinceTickMs > OWN_PAUSE_MS) {
            graceUntilMs = nowMs + OWN_PAUSE_MS
            log.event("own_pause", "ms" to sinceTickMs, "streams" to streams.size)
        }
        if (nowMs < graceUntilMs || streams.isEmpty()) return
        val signs = streams.mapNotNull { stream ->
            stream.path?.let { StreamActivity(it.id, stream.lastActivityAtMs, stream.hasReceivedEvents) }
        }
        silences.due(signs, nowMs).forEach { ask(it) }
    }

    /**
     * Moves a stream from a path with a leaving server to another path, one in each period.
     *
     * The pause of a move is shorter than that after the server's end, and moves one by one keep
     * the other paths from reading many prompts at once.
     */
    fun moveFromDraining(
        nowMs: Long,
        isDraining: (address: String) -> Boolean,
        hasOther: (home: String, tokens: Long) -> Boolean
    ) {
        if (nowMs - lastMoveMs < MOVE_PERIOD_MS) return
        val next = streams.firstOrNull { stream ->
            val home = stream.path?.home
            home != null &&
                stream.mayMove &&
                stream.passesThrough(isDraining) &&
                hasOther(home, stream.tokens)
        } ?: return
        lastMoveMs = nowMs
        next.leavePath("server leaves")
    }

    /**
     * Moves a stream that its path keeps waiting for the first event to a path that answers.
     *
     * Load pattern: a server of a path turns slow while requests are under way to it.
     */
    fun moveWaiting(nowMs: Long, hasOther: (home: String, tokens: Long) -> Boolean) {
        if (nowMs < graceUntilMs) return
        val next = streams.firstOrNull { stream ->
            val home = stream.path?.home
            val sinceMs = stream.pendingSinceMs
            home != null &&
                sinceMs != null &&
                stream.mayMove &&
                nowMs - sinceMs > FIRST_EVENT_LIMIT_MS &&
                hasOther(home, stream.tokens)
        } ?: return
        next.leavePath("slow to begin")
    }

    private fun ask(silent: StalledPaths) {
        log.event(
            "path_silent",
            "path" to silent.name,
            "streams" to silent.streams,
            "silent_ms" to silent.stalledMs,
            "limit_ms" to silent.timeoutMs
        )
        val paths = streams.mapNotNull { it.path }.filter { it.id in silent.paths }
        onSilentPath(
            paths.distinct().flatMap { it.parts }.map { it.server }.distinctBy { it.address }
        )
    }

    companion object {
        /** Period of [tick]. */
        const val TICK_MS = 20L
        private const val MOVE_PERIOD_MS = 40L
        private const val OWN_PAUSE_MS = 70L

        /** Most first events come within 125 ms, and 500 ms are on time. */
        private const val FIRST_EVENT_LIMIT_MS = 300L
    }
}
