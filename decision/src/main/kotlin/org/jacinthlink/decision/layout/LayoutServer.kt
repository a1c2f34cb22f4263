package org.jacinthlink.decision.layout

import org.jacinthlink.decision.fleet.LayerRange

/**
 * A model server as the layout sees it.
 *
 * @property held Layers that it holds or is meant to hold, or null.
 */
data class LayoutServer(
    val instanceId: String,
    val zone: String,
    val memoryMb: Double,
    val held: LayerRange?
)

/** The wish that a server holds [layers] of the copy that the servers of [group] share. */
data class Placement(val instanceId: String, val layers: LayerRange, val group: Int = 0)
