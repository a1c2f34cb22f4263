package org.jacinthlink.entry

import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.StreamEvent
import org.jacinthlink.api.StreamOpen
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.PushSink

/** Path of chat completions. */
internal const val CHAT = "/v1/chat/completions"

/** A chat request whose answer comes whole. */
internal const val BODY = """{"model":"m","messages":[{"role":"user","content":"say it"}]}"""

/** Number of tokens of an answer. */
internal const val ANSWER_TOKENS = 5

/** A head that streams the answer after the tokens that its caller has. */
internal fun resume(open: StreamOpen, sink: PushSink) {
    // A resumed head may send again what the caller already has.
    sink.tokens((open.emittedTokens.size - 1).coerceAtLeast(0) until ANSWER_TOKENS, ANSWER_TOKENS)
}

/** A head that refuses each stream with [code]. */
internal fun refused(code: ResultCode, notRun: Boolean = true, crashed: Boolean = false) =
    { _: StreamOpen, sink: PushSink ->
        sink.event(StreamEvent.Refused(code, "scripted", notRun, backendServerCrashed = crashed))
        sink.close()
    }

/** Result code of an error answer, or 0. */
internal fun PeerResult.Answered.code(): Int =
    Regex("\"code\":(\\d+)").find(body)?.groupValues?.get(1)?.toInt() ?: 0
