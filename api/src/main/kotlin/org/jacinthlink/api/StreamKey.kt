package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Identifies the state of one stream on its stages.
 *
 * A resumed request gets a new [attempt], so that messages of an abandoned attempt never change the
 * positions that stages record for the next attempt.
 */
@Serializable
data class StreamKey(val requestId: RequestId, val attempt: Int)
