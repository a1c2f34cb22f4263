package org.jacinthlink.entry.calls

import org.jacinthlink.api.CallRequest
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.WorkClass

/** A plain call that was accepted for dispatch. */
internal data class CallJob(
    val call: CallRequest,
    val workClass: WorkClass,
    val receivedAtMs: Long
) {
    val requestId: RequestId get() = call.requestId
    val key: String? get() = call.idempotencyKey
    val deadlineAtMs: Long get() = receivedAtMs + workClass.targetMs
}
