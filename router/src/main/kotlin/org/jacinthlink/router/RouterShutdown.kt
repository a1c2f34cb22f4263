package org.jacinthlink.router

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import org.jacinthlink.decision.admission.shutdownSchedule
import org.jacinthlink.transport.EventLoop

/**
 * Ends the work of a router before its process ends.
 *
 * First releases the leadership, and lets each open client connection close after the next response
 * that starts on it. Then, at the time that [shutdownSchedule] gives, rejects new requests, closes
 * idle connections and waits for the requests in progress, until shortly before SIGKILL.
 *
 * @param onStarted Called on the event loop when the router starts to drain.
 */
internal class RouterShutdown(
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val listeners: RouterListeners,
    private val clockMs: () -> Long,
    private val onStarted: () -> Unit
) {
    /**
     * Runs the shutdown, and returns when no requests are in progress or the time is up.
     *
     * @param graceMs Time between SIGTERM and SIGKILL.
     * @param rejectRequests Makes the router reject new requests.
     */
    fun run(graceMs: Long, rejectRequests: () -> Unit) {
        val schedule = shutdownSchedule(graceMs)
        val endsAtMs = clockMs() + schedule.endAfterMs
        loop.execute {
            onStarted()
            log.event("draining", "requests" to listeners.activeRequestCount)
            listeners.drain()
        }
        Thread.sleep(schedule.rejectAfterMs)
        loop.execute {
            rejectRequests()
            listeners.closeIdle()
            log.event("closed", "requests" to listeners.activeRequestCount)
        }
        var count = activeRequests(endsAtMs)
        while (clockMs() < endsAtMs && count != 0) {
            Thread.sleep(POLL_MS)
            count = activeRequests(endsAtMs)
        }
        log.event("stopped", "requests" to count)
    }

    /**
     * Counts the open requests, with those whose bytes have arrived, on the event loop, which owns
     * the connections. The result is null if the loop does not run the count by [endsAtMs].
     */
    private fun activeRequests(endsAtMs: Long): Int? {
        val count = CompletableFuture<Int?>()
        loop.executeAfterRead { count.complete(listeners.activeRequestCount) }
        val leftMs = (endsAtMs - clockMs()).coerceAtLeast(POLL_MS)
        return count.completeOnTimeout(null, leftMs, TimeUnit.MILLISECONDS).get()
    }

    private companion object {
        const val POLL_MS = 20L
    }
}
