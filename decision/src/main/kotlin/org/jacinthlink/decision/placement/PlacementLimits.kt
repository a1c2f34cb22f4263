package org.jacinthlink.decision.placement

import kotlinx.serialization.Serializable

/**
 * Limits of changes of the layers that a runner holds.
 *
 * @property enabled False if the runner keeps the layers of its settings whatever happens.
 * @property maxLayers Layers that fit into the runner's memory; absent for as many as its settings
 *   state.
 * @property gapMs Time for which layers must be without a runner before one moves there, so that a
 *   single lost probe moves none.
 * @property rankDelayMs Further time for each runner that is a better choice, in case that runner
 *   cannot move.
 * @property returnMs Time for which the runner must be dispensable before it returns to the layers
 *   of its settings.
 */
@Serializable
data class PlacementLimits(
    val enabled: Boolean = true,
    val maxLayers: Int? = null,
    val gapMs: Long = 1_000,
    val rankDelayMs: Long = 1_000,
    val returnMs: Long = 10_000
)
