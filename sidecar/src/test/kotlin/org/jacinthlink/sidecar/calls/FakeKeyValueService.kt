package org.jacinthlink.sidecar.calls

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import org.jacinthlink.api.KeyValueService
import org.jacinthlink.api.LeaseResult
import org.jacinthlink.api.ReadResult
import org.jacinthlink.api.SwapResult
import org.jacinthlink.api.VersionedValue

enum class WriteFault { NONE, LOST_UNAPPLIED, LOST_APPLIED, LOST_LATE }

/** Key-value service in memory that injects faults and counts calls. */
class FakeKeyValueService : KeyValueService {
    private val values = HashMap<String, VersionedValue>()
    private val lateWrites = CopyOnWriteArrayList<() -> SwapResult>()
    private val leases = ConcurrentHashMap.newKeySet<Long>()
    private val lastLease = AtomicLong()
    val writes = AtomicInteger()
    val reads = AtomicInteger()
    val writtenBytes = AtomicLong()

    @Volatile var latencyMs = 0L

    @Volatile var isDown = false

    @Volatile var nextFault: () -> WriteFault = { WriteFault.NONE }

    @Volatile var afterWrite: () -> Unit = {}

    override fun get(key: String): ReadResult {
        if (isDown) return ReadResult.Unavailable("down")
        reads.incrementAndGet()
        return ReadResult.Found(synchronized(values) { values[key] })
    }

    override fun compareAndSwap(key: String, expectedVersion: Long, value: String): SwapResult {
        if (isDown) return SwapResult.NotSent("down")
        writes.incrementAndGet()
        writtenBytes.addAndGet(value.length.toLong())
        if (latencyMs > 0) Thread.sleep(latencyMs)
        val result =
            when (nextFault()) {
                WriteFault.NONE -> apply(key, expectedVersion, value)
                WriteFault.LOST_UNAPPLIED -> SwapResult.Unknown("lost")
                WriteFault.LOST_APPLIED ->
                    apply(key, expectedVersion, value).let { SwapResult.Unknown("lost") }
                WriteFault.LOST_LATE -> {
                    lateWrites += { apply(key, expectedVersion, value) }
                    SwapResult.Unknown("lost")
                }
            }
        afterWrite()
        return result
    }

    /** Lets all delayed writes take effect if their versions still match. */
    fun landLateWrites(): List<SwapResult> =
        lateWrites.toList().also { lateWrites.clear() }.map { it() }

    private fun apply(key: String, expectedVersion: Long, value: String): SwapResult =
        synchronized(values) {
            val current = values[key]
            val version = current?.version ?: 0
            if (version != expectedVersion) return SwapResult.Conflict(current)
            values[key] = VersionedValue(value, version + 1)
            SwapResult.Swapped(version + 1)
        }

    override fun grantLease(ttlMs: Long): LeaseResult =
        if (isDown) {
            LeaseResult.Unavailable("down")
        } else {
            val id = lastLease.incrementAndGet().also(leases::add)
            LeaseResult.Held(id, ttlMs)
        }

    override fun renewLease(leaseId: Long): LeaseResult =
        when {
            isDown -> LeaseResult.Unavailable("down")
            leaseId in leases -> LeaseResult.Held(leaseId, 1_000)
            else -> LeaseResult.Expired
        }

    fun expireLeases() = leases.clear()
}
