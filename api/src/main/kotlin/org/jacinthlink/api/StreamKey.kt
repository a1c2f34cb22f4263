package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Identifies the stage state of one stream.
 *
 * A resumed request gets a new [attempt], so that messages of an abandoned attempt never reach the
 * cursors of its successor.
 */
@Serializable
data class StreamKey(val requestId: RequestId, val attempt: Int)
