package org.jacinthlink.api

/**
 * The platform's key-value service. A value holds up to 1 MB, and each call counts towards a rate
 * limit.
 *
 * The version of a key increases with each write; version 0 stands for an absent key.
 */
interface KeyValueService {
    fun get(key: String): ReadResult

    /** Writes [value] to [key] if its version is [expectedVersion]. */
    fun compareAndSwap(key: String, expectedVersion: Long, value: String): SwapResult

    /** Grants a lease that expires [ttlMs] after its last renewal. Each grant has a higher id. */
    fun grantLease(ttlMs: Long): LeaseResult

    fun renewLease(leaseId: Long): LeaseResult
}

/** A value and its version. */
data class VersionedValue(val value: String, val version: Long)

/** Result of [KeyValueService.get]. */
sealed interface ReadResult {
    /** The key has [value], or is absent if [value] is null. */
    data class Found(val value: VersionedValue?) : ReadResult

    /**
     * The value could not be read.
     *
     * @property wasSent True if the request was sent but not answered, so that the service may
     *   only be slow.
     */
    data class Unavailable(val message: String, val wasSent: Boolean = false) : ReadResult
}

/** Result of [KeyValueService.compareAndSwap]. */
sealed interface SwapResult {
    /** The write took effect and created [version]. */
    data class Swapped(val version: Long) : SwapResult

    /** The key has another version, [current]; nothing was written. */
    data class Conflict(val current: VersionedValue?) : SwapResult

    /** The service was not reached or rejected the request; nothing was written. */
    data class NotSent(val message: String) : SwapResult

    /** The outcome is unknown: the write may have taken effect, or may still take effect. */
    data class Unknown(val message: String) : SwapResult
}

/** Result of granting or renewing a lease. */
sealed interface LeaseResult {
    /** The lease [leaseId] is held for [ttlMs]. */
    data class Held(val leaseId: Long, val ttlMs: Long) : LeaseResult

    /** The lease has expired. */
    data object Expired : LeaseResult

    /** The call failed or was not answered. */
    data class Unavailable(val message: String) : LeaseResult
}
