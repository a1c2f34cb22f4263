package org.jacinthlink.router.relay

import org.jacinthlink.router.DecisionLog

/**
 * Streams that are under way, and the watch for paths that have fallen silent.
 *
 * All streams of a path stop at once when one of its servers dies, long before their engines give
 * up; a path without any event is left as soon as that cannot be the pace of its engines.
 */
internal class StreamBook(
    private val log: DecisionLog,
    private val onSilentPath: (home: String) -> Unit
) {
    private val streams = LinkedHashSet<StreamRelay>()
    private var lastTickMs: Long? = null

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
        streams.groupBy { it.home }.forEach { (home, group) ->
            if (home != null) check(home, group, nowMs)
        }
    }

    private var graceUntilMs = 0L

    private fun check(home: String, group: List<StreamRelay>, nowMs: Long) {
        val flowing = group.filter { it.isFlowing }
        val silentMs = nowMs - (flowing.maxOfOrNull { it.lastSignAtMs } ?: return)
        val limitMs = if (flowing.size >= SEVERAL) SILENT_PATH_MS else LONELY_SILENT_MS
        if (silentMs < limitMs) return
        log.event(
            "path_silent",
            "path" to home,
            "streams" to group.size,
            "flowing" to flowing.size,
            "silent_ms" to silentMs
        )
        onSilentPath(home)
        group.filter { nowMs - it.lastSignAtMs >= limitMs }.forEach { it.leavePath("path silent") }
    }

    companion object {
        /** Period of [tick]. */
        const val TICK_MS = 25L
        private const val OWN_PAUSE_MS = 80L
        private const val SEVERAL = 3

        /** Events of one path come every few ms when several streams use it. */
        private const val SILENT_PATH_MS = 150L

        /** A single stream pauses while its engines read other prompts. */
        private const val LONELY_SILENT_MS = 400L
    }
}
