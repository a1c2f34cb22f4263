package org.jacinthlink.entry.chat

import org.jacinthlink.api.ResultCode

/** Sends the answer to one chat request. Calls come from one thread at a time. */
internal interface ChatResponder {
    /** The next generated token. */
    fun token(text: String)

    /** No token is due, but the request is in execution. */
    fun idle()

    /** The answer is complete. */
    fun end(reason: String, tokenCount: Int)

    /** The request failed. */
    fun fail(failure: ChatFailure)

    /** Calls [listener] if the caller goes away. */
    fun onDisconnect(listener: () -> Unit)
}

/** Failure of a chat request. [notRun] is true only if nothing ran and nothing can still run. */
internal data class ChatFailure(
    val code: ResultCode,
    val message: String,
    val notRun: Boolean,
    val retryAfterMs: Long = 0
) {
    /** This failure, for a request with [fingerprint] that has crashed backend servers. */
    fun quarantined(fingerprint: String): ChatFailure {
        val message = "the request crashed two backend servers; fingerprint $fingerprint"
        return ChatFailure(ResultCode.QUARANTINED, message, notRun)
    }

    /** This failure, for a request that is past its target of [targetMs]. */
    fun tooLate(targetMs: Long): ChatFailure {
        val code = if (notRun) ResultCode.DEADLINE_UNREACHABLE else ResultCode.DEADLINE_EXCEEDED
        return copy(code = code, message = "the target of $targetMs ms passed: $message")
    }
}
