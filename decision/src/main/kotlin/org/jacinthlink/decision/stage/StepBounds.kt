package org.jacinthlink.decision.stage

/**
 * Upper bounds of one step.
 *
 * @property positions Number of positions of all streams together.
 * @property prefillPositions Number of positions of all prefilling streams together.
 * @property decodingStreams Number of decoding streams.
 */
data class StepBounds(val positions: Int, val prefillPositions: Int, val decodingStreams: Int)
