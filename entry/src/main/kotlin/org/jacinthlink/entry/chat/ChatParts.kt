package org.jacinthlink.entry.chat

import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.StreamOpen
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.RetryAccount
import org.jacinthlink.entry.heads.HeadDirectory
import org.jacinthlink.entry.tryExecute
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.StreamCall

/** What all relays of an entry share. */
internal class ChatParts(
    val context: EntryContext,
    val heads: HeadDirectory,
    val retries: RetryAccount,
    val crashes: CrashRegister,
    val permits: ContentPermits
) {
    /** Opens the stream of [attempt] on a connection of its own. */
    fun open(
        attempt: ChatAttempt,
        job: ChatJob,
        emittedTokens: List<String>,
        remainingMs: Long
    ): StreamCall {
        val open =
            StreamOpen(
                StreamKey(job.requestId, attempt.number),
                job.caller.workspace,
                job.caller.workClass.name,
                job.chat.model,
                job.chat.promptTokens,
                emittedTokens,
                job.chat.maxTokens,
                remainingMs,
                job.chat.fingerprint,
                attempt.isolated
            )
        val body = ProtocolJson.encodeToString(StreamOpen.serializer(), open)
        val call = PeerCall("POST", "http://${attempt.head.address}/v1/streams", body)
        return context.peerClient.stream(call, CONNECT_TIMEOUT_MS, attempt)
    }

    /** Ends [attempt] at its head, whose connection may be silent. */
    fun cancel(attempt: ChatAttempt, requestId: RequestId) {
        attempt.call?.cancel()
        val key = StreamKey(requestId, attempt.number)
        val path = "/v1/streams/${requestId.value}/cancel"
        val body = ProtocolJson.encodeToString(StreamKey.serializer(), key)
        context.cancels.tryExecute {
            val call = PeerCall("POST", "http://${attempt.head.address}$path", body)
            context.peerClient.call(call, CANCEL_TIMEOUT_MS, fresh = true)
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 500L
        const val CANCEL_TIMEOUT_MS = 1_000L
    }
}
