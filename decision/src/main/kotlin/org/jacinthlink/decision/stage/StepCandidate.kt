package org.jacinthlink.decision.stage

import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.WorkspaceId

/**
 * A stream with inputs for the next step of a stage.
 *
 * @property positions Number of inputs. A stream with one input decodes, and a stream with more
 *   prefills.
 */
data class StepCandidate(
    val stream: StreamKey,
    val workClass: String,
    val workspace: WorkspaceId,
    val positions: Int
) {
    internal val isDecoding: Boolean get() = positions == 1
}
