package org.jacinthlink.entry

import kotlinx.serialization.Serializable

/**
 * Limits of an entry.
 *
 * @property defaultMaxTokens Tokens generated for a request that states no maximum.
 * @property claimBuckets Buckets of claims of each service, as in the settings of the sidecars. A
 *   wrong number costs conflicts between sidecars, but no correctness.
 * @property callThreads Plain calls with a key in execution at the same time, and as many without.
 * @property maxQueuedCalls Plain calls with a key that wait for a thread, and as many without;
 *   further ones are refused.
 * @property settlingMs Longest time after the start in which models and services that are not known
 *   yet count as unavailable, not as unknown. It ends once all listed instances were asked and the
 *   configuration was read. `/health` tells the load balancer to wait until then.
 * @property drainNoticeMs Time from the beginning of a graceful stop in which requests are still
 *   taken. It must exceed the time that the load balancer needs to act on `/health`.
 */
@Serializable
data class EntryLimits(
    val maxBodyBytes: Long = 1_048_576,
    val maxOpenRequests: Int = 2_000,
    val maxPromptTokens: Int = 32_768,
    val maxTokens: Int = 4_096,
    val defaultMaxTokens: Int = 256,
    val claimBuckets: Int = 16,
    val callThreads: Int = 64,
    val maxQueuedCalls: Int = 256,
    val settlingMs: Long = 5_000,
    val drainNoticeMs: Long = 5_000
)
