package org.jacinthlink.runtime.daemon

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.supervision.Scope

/**
 * Sends the description of this process to all entries after the start, and to its subscribers when
 * it changes.
 *
 * Entries that probed the process in vain while it was down wait up to 15 s for their next probe,
 * and a process that has just started does not know yet who they are.
 */
internal class Announcer(
    private val describe: () -> InstanceDescription,
    private val entries: () -> List<String>,
    private val subscribers: () -> List<String>,
    private val client: PeerClient
) {
    private var announced: InstanceDescription? = null

    // Entries that were not told yet that this process has started.
    private var unaware: List<String> = emptyList()

    /** Begins to watch the description in [scope]. */
    fun start(scope: Scope) = scope.repeat("announce", { WATCH_INTERVAL_MS }, ::announceChange)

    /** Sends the description to all subscribers, for a few seconds at most. */
    fun announce() = announceTo(subscribers())

    private fun announceTo(addresses: List<String>) {
        if (addresses.isEmpty()) return
        val body = encodeDescription(describe())
        val pool = Executors.newFixedThreadPool(PARALLEL_CALLS, ::daemonThread)
        addresses.forEach { address ->
            val call = PeerCall("POST", "http://$address/v1/describe", body)
            pool.execute { client.call(call, CALL_TIMEOUT_MS) }
        }
        pool.shutdown()
        pool.awaitTermination(MAX_DURATION_MS, TimeUnit.MILLISECONDS)
        pool.shutdownNow()
    }

    private fun announceChange() {
        val present = describe().copy(load = null, configurationRevision = 0)
        if (announced == null) unaware = entries().shuffled()
        val next = unaware.take(MAX_FIRST_ANNOUNCEMENTS)
        unaware = unaware.drop(next.size)
        val changed = announced != null && present != announced
        if (announced != null || next.isNotEmpty()) announced = present
        if (!present.draining) announceTo(if (changed) next + subscribers() else next)
    }

    private companion object {
        // Also bounds the messages of a backend server that fails and returns all the time.
        const val WATCH_INTERVAL_MS = 1_000L
        const val CALL_TIMEOUT_MS = 500L

        // In each interval. All peers at once took 16.6 KB/s in a fleet of 40, and a node has 13.
        const val MAX_FIRST_ANNOUNCEMENTS = 8
        const val PARALLEL_CALLS = 16

        // Leaves most of the five seconds after which a stopping process may get no new work.
        const val MAX_DURATION_MS = 3_000L
    }
}

private fun daemonThread(task: Runnable) =
    Thread(task, "announce").apply { isDaemon = true }
