package org.jacinthlink.sidecar.calls

import org.jacinthlink.api.Holding
import org.jacinthlink.api.PlainService

/** What a [CallExecutor] works with. */
class CallParts(
    val holding: Holding.Service,
    val service: PlainService,
    val claims: ClaimStore,
    val monitor: CallMonitor
)
