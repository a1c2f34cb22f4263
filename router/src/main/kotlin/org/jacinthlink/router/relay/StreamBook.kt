package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.paths.GrowingPause
import org.jacinthlink.decision.paths.PathId
import org.jacinthlink.decision.paths.SilenceLimit
import org.jacinthlink.decision.paths.growingPause
import org.jacinthlink.decision.paths.silenceLimit
import org.jacinthlink.router.DecisionLog

/**
 * Streams that are under way, and the watch for paths that have fallen silent.
 *
 * All streams of a path stop at once when one of its servers dies, long before their engines give
 * up. The servers of a path without any event are asked as soon as that cannot be the pace of its
 * engines; streams leave it when one of them is silent, and a slow path is not left.
 */
internal class StreamBook(
    private val log: DecisionLog,
    private val onSilentPath: (servers: List<BackendServer>) -> Unit
) {
    private val streams = LinkedHashSet<StreamRelay>()
    private val limits = HashMap<PathId, SilenceLimit>()
    private var lastTickMs: Long? = null
    private var graceUntilMs = 0L
    private var lastMoveMs = 0L
    private val asks = HashMap<PathId, GrowingPause>()

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

    /** Lets the streams that pass through the silent server at [address] leave their paths. */
    fun leaveSilent(address: String, nowMs: Long) {
        streams.filter { it.passesThrough { part -> part == address } }
            .filter { nowMs - it.lastSignAtMs >= QUIET_MS }
            .forEach { it.leavePath("server silent") }
    }

    /** True if several streams pass through [address] and none has had an event lately. */
    fun isQuiet(address: String, nowMs: Long): Boolean {
        val passing = streams.filter { it.passesThrough { part -> part == address } }
        return passing.size >= SEVERAL && passing.all { nowMs - it.lastSignAtMs >= STILL_MS }
    }

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
        streams.groupBy { it.path?.id }.forEach { (id, group) ->
            if (id != null) check(id, group, nowMs)
        }
    }

    /**
     * Moves a stream from a path with a leaving server to another path, one in each period.
     *
     * The pause of a move is shorter than that after the server's end, and moves one by one keep
     * the other paths from reading many prompts at once.
     */
    fun moveFromLeaving(
        nowMs: Long,
        isLeaving: (address: String) -> Boolean,
        hasOther: (home: String, tokens: Long) -> Boolean
    ) {
        if (nowMs - lastMoveMs < MOVE_PERIOD_MS) return
        val next = streams.firstOrNull { stream ->
            val home = stream.path?.home
            home != null &&
                stream.mayMove &&
                stream.passesThrough(isLeaving) &&
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

    private fun check(id: PathId, group: List<StreamRelay>, nowMs: Long) {
        val flowing = group.filter { it.isFlowing }
        val lastEventMs = flowing.maxOfOrNull { it.lastSignAtMs }
            ?: return askIfStuck(id, group, nowMs)
        val limit = limits.getOrPut(id) { silenceLimit() }
        val limitMs = limit.limitMs(lastEventMs, flowing.size, nowMs)
        if (nowMs - lastEventMs < limitMs) return
        val ask = askPause(id)
        if (!ask.isOver(nowMs)) return
        ask.begin(nowMs)
        log.event(
            "path_silent",
            "path" to id,
            "streams" to group.size,
            "flowing" to flowing.size,
            "silent_ms" to nowMs - lastEventMs,
            "limit_ms" to limitMs
        )
        onSilentPath(group.servers())
    }

    /** Asks the servers of a path that has brought no event to anyone for long. */
    private fun askIfStuck(id: PathId, group: List<StreamRelay>, nowMs: Long) {
        val oldestMs = group.mapNotNull { it.pendingSinceMs }.minOrNull() ?: return
        val ask = askPause(id)
        if (nowMs - oldestMs < STUCK_MS || !ask.isOver(nowMs)) return
        ask.begin(nowMs)
        log.event("path_stuck", "path" to id, "pending" to group.size, "ms" to nowMs - oldestMs)
        onSilentPath(group.servers())
    }

    private fun askPause(id: PathId): GrowingPause =
        asks.getOrPut(id) { growingPause(FIRST_ASK_PAUSE_MS, LAST_ASK_PAUSE_MS) }

    private fun List<StreamRelay>.servers(): List<BackendServer> =
        mapNotNull { it.path }.distinct().flatMap { it.parts }.map { it.server }
            .distinctBy { it.address }

    companion object {
        /** Period of [tick]. */
        const val TICK_MS = 20L
        private const val MOVE_PERIOD_MS = 40L
        private const val OWN_PAUSE_MS = 70L

        /** A stream with a later event than this is not held up. */
        private const val QUIET_MS = 40L

        /** Streams that bear a peer's word out stand still for longer than between two events. */
        private const val STILL_MS = 65L
        private const val SEVERAL = 3

        /** A slow path looks silent again and again; servers bill each question. */
        private const val FIRST_ASK_PAUSE_MS = 250L
        private const val LAST_ASK_PAUSE_MS = 4_000L

        /** Most first events come within 125 ms, and 500 ms are on time. */
        private const val FIRST_EVENT_LIMIT_MS = 300L

        /** Without any event for this time a server may be gone. */
        private const val STUCK_MS = 700L
    }
}
