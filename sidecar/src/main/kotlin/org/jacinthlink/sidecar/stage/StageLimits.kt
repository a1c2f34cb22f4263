package org.jacinthlink.sidecar.stage

import kotlinx.serialization.Serializable

/**
 * Limits of a stage.
 *
 * @property maxStepPositions Positions of all streams in one step of the engine.
 * @property prefillChunkPositions Positions of one prompt in a step that also decodes.
 * @property maxRetainedBytes Outputs retained for replay, for all streams together.
 * @property maxMessageBytes Payload bytes in one message. It stays well below the body limit of
 *   the HTTP server, because routes and JSON add to the payloads.
 * @property acknowledgeTimeoutMs Time within which a peer confirms a message.
 * @property idleStreamMs Time without any message after which a stream's state is freed. It
 *   catches streams whose head died.
 * @property engineSteps Steps that the engine has at the same time. It runs one after the other;
 *   the next one waits there while the outputs of the former one are on their way.
 */
@Serializable
data class StageLimits(
    val maxStepPositions: Int = 256,
    val prefillChunkPositions: Int = 64,
    val maxRetainedBytes: Long = 67_108_864,
    val maxMessageBytes: Int = 262_144,
    val acknowledgeTimeoutMs: Long = 400,
    val idleStreamMs: Long = 30_000,
    val engineSteps: Int = 2
)
