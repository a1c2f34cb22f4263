package org.jacinthlink.decision.quarantine

import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.RequestId

/** A request with the content [fingerprint] that the entry [holder] dispatches. */
data class ContentRun(val fingerprint: String, val requestId: RequestId, val holder: InstanceId)
