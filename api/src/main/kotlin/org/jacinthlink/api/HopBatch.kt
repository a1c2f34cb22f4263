package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** Activations of several streams for one stage (`POST /v1/hops`). */
@Serializable
data class HopBatch(val items: List<HopItem>)

/**
 * Activations of one stream.
 *
 * @property epoch Increases each time a stage of the stream is replaced. A stage refuses items with
 *   a lower epoch than its own.
 * @property firstPosition Position of the first element of [payloads].
 * @property route The remaining stages, starting with the receiver.
 * @property headAddress Address to which the last stage sends sampled tokens.
 * @property replay True if the payloads rebuild the state of a replaced stage.
 * @property isolated True if the stream must run alone in a step of the engine.
 * @property workClass Class of the stream; stages divide their steps between classes.
 * @property workspace Workspace of the stream; stages divide their steps between workspaces.
 * @property stageCount Number of stages of the whole route, including those before the receiver.
 */
@Serializable
data class HopItem(
    val stream: StreamKey,
    val epoch: Int,
    val firstPosition: Int,
    val payloads: List<String>,
    val route: List<RouteStage>,
    val headAddress: String,
    val replay: Boolean = false,
    val isolated: Boolean = false,
    val workClass: String = "",
    val workspace: WorkspaceId = WorkspaceId(""),
    val stageCount: Int = 1
)

/** One stage of a route. */
@Serializable
data class RouteStage(
    val instance: InstanceId,
    val address: String,
    val firstLayer: Int,
    val endLayer: Int
)

/** Acknowledges the receipt of a [HopBatch], one element for each item. */
@Serializable
data class HopAck(val items: List<HopAckItem>)

/**
 * Outcome of one hop item.
 *
 * @property expectedPosition Next position that the stage expects for the stream.
 */
@Serializable
data class HopAckItem(val stream: StreamKey, val status: HopStatus, val expectedPosition: Int)

/** Outcome of a hop item at its receiver. */
@Serializable
enum class HopStatus {
    ACCEPTED,
    DUPLICATE,
    GAP,
    STALE_EPOCH,
    WRONG_LAYERS
}
