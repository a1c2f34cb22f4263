package org.jacinthlink.sidecar.stage

import kotlinx.serialization.Serializable

/**
 * Limits of a head.
 *
 * @property maxRunningStreams Streams in execution; when absent it follows from the speed of the
 *   stages.
 * @property heartbeatMs Time without a line after which a heartbeat is sent.
 * @property silenceMs Time without a token after which the stages of a stream are asked. A pause of
 *   the JVM or one lost message with its retry takes up to half of it.
 * @property stepStallMs Age of a step from which its engine counts as frozen.
 */
@Serializable
data class HeadLimits(
    val maxRunningStreams: Int? = null,
    val heartbeatMs: Long = 250,
    val silenceMs: Long = 600,
    val stepStallMs: Long = 1_000
)
