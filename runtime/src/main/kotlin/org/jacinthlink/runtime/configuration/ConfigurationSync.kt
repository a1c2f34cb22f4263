package org.jacinthlink.runtime.configuration

import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.LinkedBlockingQueue
import kotlin.random.Random
import org.jacinthlink.api.Configuration
import org.jacinthlink.api.KeyValueService
import org.jacinthlink.api.ReadResult
import org.jacinthlink.runtime.events.EventLog
import org.jacinthlink.runtime.supervision.Scope

/** Keeps [store] at the newest revision by polls, pushes and comparison with peers. */
internal class ConfigurationSync(
    private val store: ConfigurationStore,
    private val keyValue: KeyValueService,
    private val peers: ConfigurationPeers,
    private val peerAddresses: () -> List<String>,
    private val eventLog: EventLog,
    private val random: Random = Random.Default
) {
    private val hints = LinkedBlockingQueue<RevisionHint>(MAX_HINTS)
    private var failures = 0

    /** Begins to poll, push and compare in [scope]. */
    fun start(scope: Scope) {
        val pushers = Executors.newFixedThreadPool(PUSH_THREADS, ::daemonThread)
        scope.onClose { pushers.shutdownNow() }
        store.addListener { push(it, pushers) }
        scope.repeat("poll", ::pollIntervalMs, ::poll)
        scope.repeat("compare", { COMPARE_INTERVAL_MS }, ::compare)
        scope.run("pull") { while (true) pull(hints.take()) }
    }

    /** Notes that the peer at [address] is at [revision]; its document is fetched if newer. */
    fun noticeRevision(address: String, revision: Long) {
        // A full queue loses nothing: the comparison with peers finds the same document.
        if (revision > store.current.revision) hints.offer(RevisionHint(address, revision))
    }

    /** Reads the document from the key-value service. */
    fun poll() =
        when (val result = keyValue.get(CONFIGURATION_KEY)) {
            is ReadResult.Unavailable -> pollFailed(result.message)
            is ReadResult.Found -> pollSucceeded(decodeStored(result.value))
        }

    private fun pollSucceeded(document: Configuration?) {
        if (document == null) return pollFailed("the stored document is not readable")
        if (failures > 0) eventLog.record("key_value_back", null, "failed_polls" to failures)
        failures = 0
        store.offer(document, "key_value_service")
    }

    private fun pollFailed(message: String) {
        failures++
        if (failures == 1) eventLog.record("key_value_down", null, "error" to message)
    }

    private fun pollIntervalMs() = PollPlan.intervalMs(peerAddresses().size + 1, failures)

    /** Asks one random peer, so that a process that every push missed is found in seconds. */
    private fun compare() {
        val address = peerAddresses().randomOrNull(random) ?: return
        take(address, peers.pull(address, store.current.revision))
    }

    private fun pull(hint: RevisionHint) {
        if (hint.revision <= store.current.revision) return
        take(hint.address, peers.pull(hint.address, store.current.revision))
    }

    private fun take(address: String, pulled: PulledConfiguration?) {
        pulled?.document?.let { store.offer(it, address) }
    }

    private fun push(document: Configuration, pushers: ExecutorService) =
        peerAddresses().shuffled(random).take(PUSH_PEERS).forEach { address ->
            pushers.execute { peers.push(address, document) }
        }

    private class RevisionHint(val address: String, val revision: Long)

    private companion object {
        const val PUSH_PEERS = 3
        const val PUSH_THREADS = 3
        const val MAX_HINTS = 64
        const val COMPARE_INTERVAL_MS = 1_000L
    }
}

private fun daemonThread(task: Runnable) =
    Thread(task, "configuration-push").apply { isDaemon = true }
