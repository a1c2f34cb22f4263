package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** Activations of several streams for one stage (`POST /v1/hops`). */
@Serializable
data class HopBatch(val items: List<HopItem>)

/**
 * Activations of one stream.
 *
 * @property epoch Grows each time a stage of the stream is replaced; lower epochs are refused.
 * @property firstPosition Position of the first element of [payloads].
 * @property route The stages that remain, the receiver first.
 * @property headAddress Where sampled tokens go.
 * @property replay True when the items rebuild a replaced stage.
 * @property isolated True when the stream must run without others in a step of the engine.
 * @property workClass Class of the stream, by which stages share their steps.
 * @property workspace Workspace of the stream, by which stages share their steps.
 * @property stageCount Stages of the whole route, those before the receiver included.
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
 * Fate of one hop item.
 *
 * @property expectedPosition Next position that the stage takes for the stream.
 */
@Serializable
data class HopAckItem(val stream: StreamKey, val status: HopStatus, val expectedPosition: Int)

/** Fate of a hop item at its receiver. */
@Serializable
enum class HopStatus {
    ACCEPTED,
    DUPLICATE,
    GAP,
    STALE_EPOCH,
    WRONG_LAYERS
}
