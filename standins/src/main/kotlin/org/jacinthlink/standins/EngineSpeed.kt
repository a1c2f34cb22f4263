package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/**
 * Time that a step of the engine stand-in takes.
 *
 * @property stepMs Fixed time of each step.
 * @property positionLayerMicros Time added for each position and layer of the step.
 */
@Serializable
data class EngineSpeed(val stepMs: Double = 0.0, val positionLayerMicros: Double = 0.0)
