package org.jacinthlink.decision.stage

/**
 * Bounds of one step.
 *
 * @property positions Positions of all streams.
 * @property prefillPositions Positions of all streams that prefill.
 * @property decodingStreams Streams that decode.
 */
data class StepBounds(val positions: Int, val prefillPositions: Int, val decodingStreams: Int)
