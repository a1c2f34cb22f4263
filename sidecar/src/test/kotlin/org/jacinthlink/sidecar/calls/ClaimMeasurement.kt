package org.jacinthlink.sidecar.calls

import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import org.jacinthlink.decision.claims.ClaimDecision
import org.jacinthlink.decision.claims.ClaimOperation
import org.jacinthlink.decision.claims.RecordedResult

internal class ClaimMeasurement(
    private val callsPerSecond: Int,
    private val settings: ClaimStoreSettings,
    private val keyValue: FakeKeyValueService,
    private val waitsMs: List<Double>,
    val seconds: Double
) {
    val writes = keyValue.writes.get()
    val refused = callsPerSecond - waitsMs.size

    override fun toString() =
        "%d calls/s, interval %d ms: %.0f writes/s, %.2f MB/s, wait %.0f ms median, %.0f ms p95"
            .format(
                callsPerSecond,
                settings.writeIntervalMs,
                writes / seconds,
                keyValue.writtenBytes.get() / seconds / 1e6,
                waitsMs[waitsMs.size / 2],
                waitsMs[waitsMs.size * 95 / 100]
            )
}

/** Claims and completes [callsPerSecond] calls, each with a result of 200 bytes, in a second. */
internal fun measureClaims(callsPerSecond: Int, settings: ClaimStoreSettings): ClaimMeasurement {
    val keyValue = FakeKeyValueService().apply { latencyMs = 3 }
    val result = RecordedResult(200, emptyMap(), "x".repeat(200))
    val waitsMs = ConcurrentLinkedQueue<Double>()
    claimStore("desk", keyValue, settings).use { store ->
        fun call(index: Int): CompletableFuture<ClaimResult> {
            val (key, nonce) = "k$index" to "n$index"
            val beginNs = System.nanoTime()
            return store.submit(ClaimOperation.Begin(key, "hash", nonce, 0), 5_000)
                .thenCompose { begun ->
                    if (begun == ClaimResult.Decided(ClaimDecision.Owned)) {
                        waitsMs += (System.nanoTime() - beginNs) / 1e6
                    }
                    store.submitInBackground(ClaimOperation.Complete(key, "hash", nonce, result))
                }
        }
        val startNs = System.nanoTime()
        val calls =
            List(callsPerSecond) { index ->
                val dueNs = startNs + index * 1_000_000_000L / callsPerSecond
                Thread.sleep(((dueNs - System.nanoTime()) / 1_000_000).coerceAtLeast(0))
                call(index)
            }
        calls.forEach { it.get() }
        val seconds = (System.nanoTime() - startNs) / 1e9
        return ClaimMeasurement(callsPerSecond, settings, keyValue, waitsMs.sorted(), seconds)
    }
}
