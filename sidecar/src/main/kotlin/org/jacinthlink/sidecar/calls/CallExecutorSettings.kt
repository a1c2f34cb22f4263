package org.jacinthlink.sidecar.calls

import kotlinx.serialization.Serializable
import org.jacinthlink.decision.routing.AdmissionLimits

/**
 * Settings of a [CallExecutor].
 *
 * @property concurrency Calls in execution at the same time; each has a thread.
 * @property claimTimeoutMs Longest wait for a claim. After it the call is refused. It covers three
 *   answers of the key-value service that take as long as the service is given.
 * @property cancelTimeoutMs Longest wait for a cancelled claim. After it the outcome is unknown.
 * @property holderPollMs Interval at which a repeated call looks for the result of the first one.
 * @property deadClaimGraceMs Time after the end of an execution's allowance from which its claimer
 *   counts as failed.
 * @property maxCalls Bounds all calls that wait or run, repeated ones included.
 */
@Serializable
data class CallExecutorSettings(
    val concurrency: Int = 32,
    val queueLimits: AdmissionLimits = AdmissionLimits(maxClassRequests = 128),
    val claimTimeoutMs: Long = 15_000,
    val cancelTimeoutMs: Long = 2_000,
    val holderPollMs: Long = 100,
    val deadClaimGraceMs: Long = 1_000,
    val maxCalls: Int = 2_048
)
