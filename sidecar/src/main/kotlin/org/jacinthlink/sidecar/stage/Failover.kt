package org.jacinthlink.sidecar.stage

import java.util.concurrent.Executor
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.StreamKey
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.events.EventLog

/** Moves the streams of a head from failed stages to others that hold the same layers. */
internal class Failover(
    private val head: Head,
    private val self: InstanceId,
    private val rerouter: Rerouter,
    private val executor: Executor,
    private val clock: Clock,
    private val events: EventLog
) {
    /**
     * Begins to replace [stages] in the route of [key], or adds them to a failover in progress.
     *
     * A stage is kept while no other copy of it is left, unless it is among [lost].
     */
    fun begin(key: StreamKey, stages: Set<InstanceId>, lost: Set<InstanceId>) {
        val begins =
            head.withRunning(key) { stream ->
                stream.failed += stages
                stream.lost += lost
                val isAffected = stream.route.any { it.instance in stream.failed }
                (isAffected && !stream.isFailingOver).also { if (it) stream.isFailingOver = true }
            }
        if (begins == true) executor.execute { run(key) }
    }

    /** Has all stages of [key] send their newest output again, in case one was lost. */
    fun nudge(key: StreamKey) {
        val begins =
            head.withRunning(key) { stream ->
                (!stream.isFailingOver).also { if (it) stream.isFailingOver = true }
            }
        if (begins == true) executor.execute { run(key, isNudge = true) }
    }

    private fun run(key: StreamKey, isNudge: Boolean = false) {
        var isFirst = isNudge
        var count = 0
        while (true) {
            val change = head.withRunning(key) { planChange(it, isFirst) } ?: return
            when (change) {
                RouteChange.None -> break
                RouteChange.Impossible -> {
                    head.fail(key, "no other instance holds the layers of a failed stage")
                    return
                }
                is RouteChange.Changed -> if (!apply(key, change)) return
            }
            isFirst = false
            count++
        }
        head.feed(key)
        events.record(
            "stream_failed_over",
            key.requestId,
            "attempt" to key.attempt,
            "changes" to count,
            "nudge" to isNudge
        )
    }

    // Ends the failover under the lock of the head, so that a stage that fails now begins another.
    private fun planChange(stream: HeadStream, isNudge: Boolean): RouteChange {
        val old = stream.route
        val failed = old.indices.filter { old[it].instance in stream.failed }
        if (failed.isEmpty() && !isNudge) {
            stream.isFailingOver = false
            stream.progressAtMs = clock.nowMs()
            return RouteChange.None
        }
        if (old.first().instance in stream.failed) return RouteChange.Impossible
        val route = head.replaceFailed(stream) ?: return keepLate(stream)
        stream.takeRoute(route, clock.nowMs())
        return RouteChange.Changed(stream.epoch, route, failed.maxOrNull() ?: route.size)
    }

    // All stages learn the route again, so that the one before a late stage sends to it once more.
    private fun keepLate(stream: HeadStream): RouteChange {
        val nowMs = clock.nowMs()
        val route = if (stream.keepLate(nowMs)) head.replaceFailed(stream) else null
        if (route == null) return RouteChange.Impossible
        stream.takeRoute(route, nowMs)
        return RouteChange.Changed(stream.epoch, route, route.size, isLate = true)
    }

    // Returns false if the stream ended.
    private fun apply(key: StreamKey, change: RouteChange.Changed): Boolean {
        if (change.isLate) Thread.sleep(LATE_PAUSE_MS)
        val stages = change.route.map { it.toRouteStage() }
        when (val result = rerouter.apply(key, change.epoch, stages, change.informedStages)) {
            RerouteResult.Applied -> Unit
            RerouteResult.NotRetained -> {
                head.fail(key, "outputs that a replacement needs are not retained")
                return false
            }
            is RerouteResult.Unreachable -> {
                if (result.stage == self) return false
                head.withRunning(key) {
                    it.failed += result.stage
                    if (result.isLost) it.lost += result.stage
                }
            }
        }
        return true
    }

    private companion object {
        // Pause before a late stage is asked again.
        const val LATE_PAUSE_MS = 100L
    }
}
