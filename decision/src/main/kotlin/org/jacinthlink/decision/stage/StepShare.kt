package org.jacinthlink.decision.stage

import org.jacinthlink.api.StreamKey

/** Number of positions of one stream in a step. */
data class StepShare(val stream: StreamKey, val positions: Int)
