package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.StreamKey

/**
 * A fault of [stage] to report to the head of [streams] at [headAddress].
 *
 * @property crashId Identifies the crash of the backend server; empty if it did not crash.
 */
internal data class StageNotice(
    val headAddress: String,
    val streams: List<StreamKey>,
    val stage: InstanceId,
    val message: String,
    val crashId: String = ""
)
