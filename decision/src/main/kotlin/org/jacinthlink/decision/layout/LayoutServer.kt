package org.jacinthlink.decision.layout

import org.jacinthlink.decision.fleet.LayerRange

/**
 * An engine of a model, as input for planning the layout.
 *
 * @property held Layers that the engine holds or should hold, or null.
 */
data class LayoutServer(
    val instanceId: String,
    val zone: String,
    val memoryMb: Double,
    val held: LayerRange?
)

/** The target of a server: [layers] of the model copy that the servers of [group] share. */
data class Placement(val instanceId: String, val layers: LayerRange, val group: Int = 0)
