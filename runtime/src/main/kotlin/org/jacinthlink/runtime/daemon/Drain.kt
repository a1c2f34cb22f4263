package org.jacinthlink.runtime.daemon

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerClient

/** Graceful stop: tells peers, waits until no work is left or the deadline passed, then closes. */
internal class Drain(
    private val shell: HttpDaemonShell,
    private val logic: DaemonLogic,
    private val client: PeerClient,
    private val subscribers: DescribeSubscribers
) {
    fun run() {
        val deadlineMs = shell.clock.nowMs() + shell.settings.drainTimeoutMs
        try {
            logic.onDrain()
            tellPeers()
            // Calls that were sent before the peers knew are still answered.
            Thread.sleep(GRACE_MS)
            awaitNoWork(deadlineMs)
        } catch (e: Exception) {
            shell.eventLog.record("drain_failed", null, "error" to "$e")
        } finally {
            shell.eventLog.record("drain_ended", null, "open_work" to openWork())
            shell.stop()
        }
    }

    private fun tellPeers() {
        val body = encodeDescription(shell.describe())
        val pool = Executors.newFixedThreadPool(PARALLEL_CALLS)
        subscribers.recent(shell.clock.nowMs()).forEach { address ->
            pool.execute {
                val call = PeerCall("POST", "http://$address/v1/describe", body)
                client.call(call, CALL_TIMEOUT_MS)
            }
        }
        pool.shutdown()
        pool.awaitTermination(TELL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        pool.shutdownNow()
    }

    /** A fault of the daemon must not keep the process from stopping. */
    private fun openWork(): Int = runCatching(logic::openWork).getOrDefault(0)

    private fun awaitNoWork(deadlineMs: Long) {
        while (openWork() > 0 && shell.clock.nowMs() < deadlineMs) Thread.sleep(POLL_MS)
    }

    private companion object {
        const val GRACE_MS = 500L
        const val POLL_MS = 50L
        const val CALL_TIMEOUT_MS = 500L
        const val PARALLEL_CALLS = 16

        // Leaves most of the five seconds after which no new work may arrive.
        const val TELL_TIMEOUT_MS = 3_000L
    }
}
