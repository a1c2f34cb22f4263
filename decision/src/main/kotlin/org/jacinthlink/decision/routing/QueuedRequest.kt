package org.jacinthlink.decision.routing

import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.WorkspaceId

/**
 * A request in a [FairQueue].
 *
 * @property costTokens Tokens charged when the request is polled, usually its prompt. What it
 *   generates is charged later by [FairQueue.charge].
 * @property deadlineAtMs Time after which the request is no longer worth starting.
 * @property resumed True when the request continues a stream that lost its head. It goes before
 *   all others, because its caller already waits between two tokens.
 */
data class QueuedRequest(
    val id: StreamKey,
    val workspace: WorkspaceId,
    val workClass: String,
    val costTokens: Int,
    val enqueuedAtMs: Long,
    val deadlineAtMs: Long,
    val resumed: Boolean = false
)
