package org.jacinthlink.runtime.configuration

import java.util.concurrent.Callable
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ListedInstance
import org.jacinthlink.runtime.Clock

/** Asks the instances of the system until a revision is in force on all of them. */
internal class ConfigurationConfirmation(
    private val store: ConfigurationStore,
    private val peers: ConfigurationPeers,
    private val self: () -> InstanceId,
    private val listedPeers: () -> List<ListedInstance>,
    private val clock: Clock
) {
    /** Waits until [revision] is in force everywhere, for five seconds at most. */
    fun await(revision: Long): AppliedChange {
        val pool = Executors.newFixedThreadPool(PARALLEL_CALLS, ::daemonThread)
        try {
            return Round(revision, clock.nowMs() + MAX_WAIT_MS, pool).run()
        } finally {
            pool.shutdownNow()
        }
    }

    private inner class Round(
        private val revision: Long,
        private val deadlineMs: Long,
        private val pool: ExecutorService
    ) {
        private val inForce = sortedMapOf<String, Long>()

        fun run(): AppliedChange {
            var open = listedPeers()
            var pauseMs = FIRST_PAUSE_MS
            while (true) {
                ask(open)
                open = open.filter { (inForce[it.instance.value] ?: 0) < revision }
                if (open.isEmpty() || clock.nowMs() + pauseMs >= deadlineMs) break
                Thread.sleep(pauseMs)
                pauseMs = (pauseMs * 2).coerceAtMost(MAX_PAUSE_MS)
            }
            return result(open)
        }

        /** Silent instances hold a thread for a while, so all others go on beside them. */
        private fun ask(instances: List<ListedInstance>) {
            val tasks = instances.map { Callable { it.instance to peers.revisionOf(it.address) } }
            val leftMs = (deadlineMs - clock.nowMs()).coerceAtLeast(0)
            pool.invokeAll(tasks, leftMs, TimeUnit.MILLISECONDS)
                .filter { !it.isCancelled }
                .map { it.get() }
                .forEach { (instance, found) -> if (found != null) inForce[instance.value] = found }
        }

        private fun result(open: List<ListedInstance>): AppliedChange {
            val found = inForce.mapKeys { InstanceId(it.key) } + (self() to store.current.revision)
            return AppliedChange(revision, found, open.map { it.instance }.filter { it !in found })
        }
    }

    private companion object {
        const val MAX_WAIT_MS = 5_000L
        const val PARALLEL_CALLS = 16
        const val FIRST_PAUSE_MS = 20L
        const val MAX_PAUSE_MS = 500L
    }
}

private fun daemonThread(task: Runnable) =
    Thread(task, "configuration-confirm").apply { isDaemon = true }
