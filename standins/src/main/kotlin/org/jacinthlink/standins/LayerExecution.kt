package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/** How often [layer] ran at [position] of the stream of [attempt]. */
@Serializable
data class LayerExecution(val attempt: Int, val layer: Int, val position: Int, val count: Int)
