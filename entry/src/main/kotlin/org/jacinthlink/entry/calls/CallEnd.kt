package org.jacinthlink.entry.calls

import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.ResultCode

/** What the caller of a plain call is told. */
internal sealed interface CallEnd {
    /** The service answered. */
    data class Answered(val answer: CallAnswer.Executed) : CallEnd

    /** No answer; [notRun] is true only if nothing ran and nothing can still run. */
    data class Failed(
        val code: ResultCode,
        val message: String,
        val notRun: Boolean,
        val retryAfterMs: Long = 0
    ) : CallEnd
}
