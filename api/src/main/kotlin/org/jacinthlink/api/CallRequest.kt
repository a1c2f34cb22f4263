package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Call to a plain service through its sidecar (`POST /v1/calls`).
 *
 * @property idempotencyKey Key that the caller chose; absent for calls that may be retried.
 * @property bodyHash Hash of method, path and body, to which the key is bound.
 * @property sentAtMs Wall-clock time of the sender at sending. With it, a receiver that was frozen
 *   detects a call that waited in its socket until after the retention of claims, so that the claim
 *   of its key may have been dropped.
 * @property claimWithinMs Time within which the key must be claimed, because a later refusal does
 *   not reach the sender in time; all of [remainingMs] if absent.
 */
@Serializable
data class CallRequest(
    val requestId: RequestId,
    val workspace: WorkspaceId,
    val workClass: String,
    val service: String,
    val method: String,
    val path: String,
    val headers: Map<String, String>,
    val body: String,
    val idempotencyKey: String? = null,
    val bodyHash: String,
    val remainingMs: Long,
    val sentAtMs: Long? = null,
    val claimWithinMs: Long? = null
)

/** Requests that the call with [idempotencyKey] never run (`POST /v1/calls/cancel`). */
@Serializable
data class CallCancel(
    val requestId: RequestId,
    val workspace: WorkspaceId,
    val service: String,
    val idempotencyKey: String,
    val bodyHash: String
)
