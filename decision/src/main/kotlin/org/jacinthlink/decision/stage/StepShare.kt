package org.jacinthlink.decision.stage

import org.jacinthlink.api.StreamKey

/** Number of positions that one stream has in a step. */
data class StepShare(val stream: StreamKey, val positions: Int)
