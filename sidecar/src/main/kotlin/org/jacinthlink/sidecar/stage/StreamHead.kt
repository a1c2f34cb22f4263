package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.SampledToken
import org.jacinthlink.api.StageFault
import org.jacinthlink.api.StreamKey

/** Receives what the stages report to the head of a stream. */
internal interface StreamHead {
    /** Takes sampled tokens and answers the streams that do not run here. */
    fun onTokens(tokens: List<SampledToken>): List<StreamKey>

    fun onFault(fault: StageFault)
}
