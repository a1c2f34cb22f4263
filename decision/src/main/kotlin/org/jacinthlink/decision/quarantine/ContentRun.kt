package org.jacinthlink.decision.quarantine

import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.RequestId

/** Run of a request whose content has [fingerprint], dispatched by the entry process [holder]. */
data class ContentRun(val fingerprint: String, val requestId: RequestId, val holder: InstanceId)
