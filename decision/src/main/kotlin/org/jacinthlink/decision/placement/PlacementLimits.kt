package org.jacinthlink.decision.placement

import kotlinx.serialization.Serializable

/**
 * Limits on changes of the layers that an engine holds.
 *
 * @property enabled False if the engine always keeps the layers of its settings.
 * @property maxLayers Number of layers that fit into the memory of the engine; if absent, the
 *   number of layers in its settings.
 * @property gapMs Time for which layers must be without an engine before one moves there, so that a
 *   single lost probe does not cause a move.
 * @property rankDelayMs Further time that an engine waits for each better candidate, which may be
 *   unable to move.
 * @property returnMs Time for which the engine must be dispensable, as defined by
 *   [PlacementPolicy], before it returns to the layers of its settings.
 */
@Serializable
data class PlacementLimits(
    val enabled: Boolean = true,
    val maxLayers: Int? = null,
    val gapMs: Long = 1_000,
    val rankDelayMs: Long = 1_000,
    val returnMs: Long = 10_000
)
