package org.jacinthlink.api

/**
 * The platform's key-value service. Values hold up to a megabyte; each call is counted.
 *
 * Versions of a key grow with each write; version 0 stands for an absent key.
 */
interface KeyValueService {
    /** Reads [key]. */
    fun get(key: String): ReadResult

    /** Writes [value] if the version of [key] is [expectedVersion]. */
    fun compareAndSwap(key: String, expectedVersion: Long, value: String): SwapResult

    /** Grants a lease that lapses [ttlMs] after its last renewal. Its id grows with each grant. */
    fun grantLease(ttlMs: Long): LeaseResult

    /** Renews a lease. */
    fun renewLease(leaseId: Long): LeaseResult
}

/** A value and its version. */
data class VersionedValue(val value: String, val version: Long)

/** Result of a read. */
sealed interface ReadResult {
    /** The key's value, or null if the key is absent. */
    data class Found(val value: VersionedValue?) : ReadResult

    /**
     * The service did not answer.
     *
     * @property wasSent True if it was reached and may only be slow.
     */
    data class Unavailable(val message: String, val wasSent: Boolean = false) : ReadResult
}

/** Result of a compare-and-swap. */
sealed interface SwapResult {
    /** The write took effect and made [version]. */
    data class Swapped(val version: Long) : SwapResult

    /** Another version was found; nothing was written. */
    data class Conflict(val current: VersionedValue?) : SwapResult

    /** The service was not reached; nothing was written. */
    data class NotSent(val message: String) : SwapResult

    /** The answer was lost; the write may have taken effect, or may yet take effect. */
    data class Unknown(val message: String) : SwapResult
}

/** Result of a lease call. */
sealed interface LeaseResult {
    /** The lease [leaseId] is held for [ttlMs]. */
    data class Held(val leaseId: Long, val ttlMs: Long) : LeaseResult

    /** The lease has lapsed. */
    data object Expired : LeaseResult

    /** The service did not answer. */
    data class Unavailable(val message: String) : LeaseResult
}
