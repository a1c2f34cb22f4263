package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Call to a plain service through its sidecar (`POST /v1/calls`).
 *
 * @property idempotencyKey Key of the caller; absent for calls that may be repeated.
 * @property bodyHash Hash over method, path and body; a key is bound to it.
 * @property sentAtMs Wall clock of the sender. A receiver that was frozen finds out from it that a
 *   call has waited in its socket until after the retention of claims.
 * @property claimWithinMs Time within which the key must be claimed, as the sender awaits a refusal
 *   no longer; all of [remainingMs] if absent.
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

/** Asks that a call with [idempotencyKey] never run (`POST /v1/calls/cancel`). */
@Serializable
data class CallCancel(
    val requestId: RequestId,
    val workspace: WorkspaceId,
    val service: String,
    val idempotencyKey: String,
    val bodyHash: String
)
