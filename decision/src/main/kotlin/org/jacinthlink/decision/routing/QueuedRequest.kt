package org.jacinthlink.decision.routing

import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.WorkspaceId

/**
 * A request in a [FairQueue].
 *
 * @property costTokens Number of tokens charged when the request is polled, usually those of its
 *   prompt. Generated tokens are charged later by [FairQueue.charge].
 * @property deadlineAtMs Time after which the request is no longer started.
 * @property resumed True if the request continues a stream whose head failed. It is served before
 *   all others, because its client is already waiting for the next token.
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
