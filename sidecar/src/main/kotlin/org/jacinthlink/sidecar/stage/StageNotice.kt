package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.StreamKey

/** A fault of [stage] to report to the head of [streams] at [headAddress]. */
internal data class StageNotice(
    val headAddress: String,
    val streams: List<StreamKey>,
    val stage: InstanceId,
    val backendServerCrashed: Boolean,
    val message: String
)
