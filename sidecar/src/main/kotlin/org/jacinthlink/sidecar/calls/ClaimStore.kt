package org.jacinthlink.sidecar.calls

import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import org.jacinthlink.api.KeyValueService
import org.jacinthlink.decision.claims.Claim
import org.jacinthlink.decision.claims.ClaimOperation
import org.jacinthlink.decision.claims.claimBucketOf

/**
 * Claims of one service in the key-value service.
 *
 * Operations on the same bucket share writes, so that writes per second are bounded by the bucket
 * count and the write interval, whatever the load.
 */
class ClaimStore internal constructor(
    service: String,
    keyValue: KeyValueService,
    private val settings: ClaimStoreSettings,
    private val clocks: SidecarClocks
) : AutoCloseable {
    private val threadCount = AtomicInteger()
    private val executor =
        Executors.newScheduledThreadPool(minOf(settings.bucketCount, MAX_THREADS)) { task ->
            Thread(task, "claims-$service-${threadCount.incrementAndGet()}")
                .apply { isDaemon = true }
        }
    private val writers =
        List(settings.bucketCount) { bucket ->
            val key = "jacinthlink/claims/$service/$bucket"
            BucketWriter(key, keyValue, settings, clocks, executor)
        }

    /** Bounds of the buckets of this store. */
    val limits get() = settings.limits

    /**
     * Applies [operation] within [timeoutMs].
     *
     * @param fresh True if another sidecar may have changed the claim since it was last seen.
     */
    fun submit(
        operation: ClaimOperation,
        timeoutMs: Long,
        fresh: Boolean = false
    ): CompletableFuture<ClaimResult> {
        val deadlineMs = clocks.monotonic.nowMs() + timeoutMs
        val pending = PendingOperation(operation, deadlineMs, needsFreshRead = fresh)
        writerOf(operation.key).submit(pending)
        return pending.future.completeOnTimeout(
            ClaimResult.Unavailable("no answer of the key-value service in $timeoutMs ms"),
            timeoutMs,
            TimeUnit.MILLISECONDS
        )
    }

    /** Applies [operation] as soon as the key-value service allows; no caller waits for it. */
    fun submitInBackground(operation: ClaimOperation): CompletableFuture<ClaimResult> {
        val deadlineMs = clocks.monotonic.nowMs() + settings.recordTimeoutMs
        val pending = PendingOperation(operation, deadlineMs, isBackground = true)
        writerOf(operation.key).submit(pending)
        return pending.future
    }

    /** The claim of [key] as last seen, without a call. It may lack later changes. */
    fun lastSeen(key: String): Claim? =
        writerOf(key).lastSeen.find(key)?.takeIf { clocks.wall.nowMs() < it.expiresAtMs }

    /** Waits until all operations are settled; returns false if that takes over [timeoutMs]. */
    fun flush(timeoutMs: Long): Boolean {
        val deadlineMs = clocks.monotonic.nowMs() + timeoutMs
        while (!writers.all { it.isIdle }) {
            if (clocks.monotonic.nowMs() >= deadlineMs) return false
            Thread.sleep(FLUSH_POLL_MS)
        }
        return true
    }

    override fun close() {
        executor.shutdownNow()
    }

    private fun writerOf(key: String) = writers[claimBucketOf(key, settings.bucketCount)]

    private companion object {
        const val MAX_THREADS = 16
        const val FLUSH_POLL_MS = 5L
    }
}

/** Opens the claims of [service]. */
fun claimStore(
    service: String,
    keyValue: KeyValueService,
    settings: ClaimStoreSettings = ClaimStoreSettings(),
    clocks: SidecarClocks = sidecarClocks()
): ClaimStore = ClaimStore(service, keyValue, settings, clocks)
