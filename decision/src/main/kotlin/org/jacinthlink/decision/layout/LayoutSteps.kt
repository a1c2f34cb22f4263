package org.jacinthlink.decision.layout

import org.jacinthlink.decision.fleet.LayerRange

/**
 * What a server holds and is meant to hold.
 *
 * @property held Layers that it holds now, or null.
 * @property wanted Layers that it is meant to hold.
 * @property isBusy True while it carries out an order.
 * @property group The servers that share a copy of the model.
 */
data class LayoutState(
    val instanceId: String,
    val memoryMb: Double,
    val held: LayerRange?,
    val wanted: LayerRange,
    val isBusy: Boolean,
    val group: Int = 0
)

/** An order to a server to hold [layers]. */
sealed interface LayoutStep {
    val instanceId: String
    val layers: LayerRange

    /** Loads layers beside those that are held. */
    data class Load(override val instanceId: String, override val layers: LayerRange) : LayoutStep

    /** Gives layers up that others hold. */
    data class Release(override val instanceId: String, override val layers: LayerRange) :
        LayoutStep
}

/** Part of a server's memory that weights may take while it holds old and new layers. */
private const val MAX_MEMORY_SHARE = 0.95

/**
 * The orders that can be given now, the most urgent first.
 *
 * Load pattern: a server is lost under load. Layers are given up only when others hold them, so
 * paths stay whole while the rest of the zone moves closer; layers that nobody holds come first.
 *
 * @param loadsAtOnce Loads that run side by side without slowing each other.
 */
fun nextSteps(
    states: List<LayoutState>,
    layerMb: Double,
    loadsAtOnce: Int
): List<LayoutStep> {
    val steps = states.groupBy { it.group }.values.flatMap { groupSteps(it, layerMb) }
    val (loads, releases) = steps.partition { it.step is LayoutStep.Load }
    val running = states.count { it.isBusy }
    val urgentFirst = loads.sortedByDescending { it.missingCount }
    return releases.map { it.step } +
        urgentFirst.take((loadsAtOnce - running).coerceAtLeast(0)).map { it.step }
}

/** A step and the number of its layers that nobody in the group holds. */
private class RankedStep(val step: LayoutStep, val missingCount: Int)

private fun groupSteps(states: List<LayoutState>, layerMb: Double): List<RankedStep> {
    val missing = missingLayers(states)
    return states.filter { !it.isBusy }
        .mapNotNull { step(it, states, layerMb, missing) }
        .map { step -> RankedStep(step, missing.count { it in step.layers }) }
}

private fun missingLayers(states: List<LayoutState>): List<Int> {
    val layerCount = states.maxOfOrNull { it.wanted.to } ?: 0
    return (0 until layerCount).filter { layer -> states.none { it.holds(layer) } }
}

private fun step(
    state: LayoutState,
    states: List<LayoutState>,
    layerMb: Double,
    missing: List<Int>
): LayoutStep? {
    val held = state.held ?: return LayoutStep.Load(state.instanceId, state.wanted)
    if (held == state.wanted) return null
    val isSpare = isHeldElsewhere(state, held, states)
    val both = held.hull(state.wanted)
    val fitsBoth = held.touches(state.wanted) &&
        both.size * layerMb <= state.memoryMb * MAX_MEMORY_SHARE
    return when {
        held.contains(state.wanted) ->
            if (isSpare) LayoutStep.Release(state.instanceId, state.wanted) else null
        fitsBoth -> LayoutStep.Load(state.instanceId, both)
        isSpare || missing.any { it in state.wanted } ->
            LayoutStep.Load(state.instanceId, state.wanted)
        else -> null
    }
}

/** True if others that stay so hold all layers that [state] would give up. */
private fun isHeldElsewhere(
    state: LayoutState,
    held: LayerRange,
    states: List<LayoutState>
): Boolean =
    (held.from until held.to).filter { it !in state.wanted }.all { layer ->
        states.any { it !== state && layer in it.wanted && it.holds(layer) }
    }

private fun LayoutState.holds(layer: Int): Boolean = held != null && layer in held
