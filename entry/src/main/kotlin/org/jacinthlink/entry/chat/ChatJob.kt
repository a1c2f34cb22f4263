package org.jacinthlink.entry.chat

import org.jacinthlink.api.RequestId
import org.jacinthlink.entry.CallerIdentity

/** A chat request that was accepted for dispatch. */
internal data class ChatJob(
    val requestId: RequestId,
    val caller: CallerIdentity,
    val chat: ChatRequest,
    val receivedAtMs: Long
)
