package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.StageFault
import org.jacinthlink.api.StreamEvent

/** Refusal of a stream of which nothing has run. */
internal fun refused(code: ResultCode, message: String, retryAfterMs: Long = 0) =
    StreamEvent.Refused(code, message, notRun = true, retryAfterMs = retryAfterMs)

/** End of a stream that has run, and that no route can continue. */
internal fun failed(message: String) =
    StreamEvent.Refused(ResultCode.STREAM_FAILED, message, notRun = false)

/** End of a stream whose backend server has crashed. */
internal fun crashed(fault: StageFault) =
    failed(fault.message).copy(backendServerCrashed = true, crashId = fault.crashId)

/** End of a stream whose input from [firstPosition] on the first stage does not take. */
internal fun notFed(firstPosition: Int): StreamEvent.Refused {
    val message = "the backend server lost its state"
    val hasRun = firstPosition > 0
    return if (hasRun) failed(message) else refused(ResultCode.NO_BACKEND_SERVER, message)
}
