package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** Engine that holds a range of layers of a model. */
interface ModelEngine {
    /** Loads the layers of [order], which carries the fencing token of its sender. */
    fun load(order: LoadOrder): EngineResult<Unit>

    /** Runs all held layers on [items] as one batch. */
    fun step(items: List<EngineInput>): EngineResult<List<EngineOutput>>

    /** Frees the KV cache of [stream]. */
    fun release(stream: StreamKey): EngineResult<Unit>

    /** Reads the load that the engine reports, which lags behind the actual load. */
    fun load(): EngineResult<EngineLoad>
}

/** Request to load the layers from [firstLayer] until [endLayer] (exclusive) of [model]. */
@Serializable
data class LoadOrder(
    val model: String,
    val firstLayer: Int,
    val endLayer: Int,
    val layerCount: Int,
    val fence: Long
)

/**
 * Input of one stream to one step.
 *
 * @property firstPosition Position of the first element of [payloads] in the stream.
 * @property payloads Tokens for the first range of layers, activations for the others.
 */
@Serializable
data class EngineInput(val stream: StreamKey, val firstPosition: Int, val payloads: List<String>)

/**
 * Output of one stream from one step.
 *
 * @property payloads Activations, one for each position; empty for the last range of layers.
 * @property nextToken Token sampled after the last position by the last range of layers.
 */
@Serializable
data class EngineOutput(
    val stream: StreamKey,
    val firstPosition: Int,
    val payloads: List<String>,
    val nextToken: String? = null
)

/** Load that an engine reports. */
@Serializable
data class EngineLoad(val runningStreams: Int, val cachedPositions: Int)

/** Result of a call to an engine. */
sealed interface EngineResult<out T> {
    /** The engine completed the call. */
    data class Done<out T>(val value: T) : EngineResult<T>

    /** The engine refused the call and did nothing. */
    data class Refused(val message: String) : EngineResult<Nothing>

    /** The engine was not reached; nothing ran. */
    data class NotSent(val message: String) : EngineResult<Nothing>

    /** The call failed or was not answered after it was sent; it may have crashed the engine. */
    data class Broken(val message: String) : EngineResult<Nothing>
}
