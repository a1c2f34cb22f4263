package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** A model engine that holds a range of layers. */
interface ModelEngine {
    /** Loads a range of layers. [order] carries the fencing number of the one who orders. */
    fun load(order: LoadOrder): EngineResult<Unit>

    /** Runs all held layers over each item of [items], as one batch. */
    fun step(items: List<EngineInput>): EngineResult<List<EngineOutput>>

    /** Frees the KV cache of [stream]. */
    fun release(stream: StreamKey): EngineResult<Unit>

    /** Reads the engine's own, lagging report of its load. */
    fun load(): EngineResult<EngineLoad>
}

/** Order to hold layers [firstLayer] until [endLayer] of [model]. */
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

/** Load as reported by an engine. */
@Serializable
data class EngineLoad(val runningStreams: Int, val cachedPositions: Int)

/** Result of a call to an engine. */
sealed interface EngineResult<out T> {
    /** The engine did as asked. */
    data class Done<out T>(val value: T) : EngineResult<T>

    /** The engine refused and did nothing. */
    data class Refused(val message: String) : EngineResult<Nothing>

    /** The engine could not be reached; nothing ran. */
    data class NotSent(val message: String) : EngineResult<Nothing>

    /** The connection broke after the call was sent; the engine may have crashed on it. */
    data class Broken(val message: String) : EngineResult<Nothing>
}
