package org.jacinthlink.decision.layout

import org.jacinthlink.decision.fleet.LayerRange

/**
 * What a server holds and is meant to hold.
 *
 * @property held Layers that it holds now, or null.
 * @property wanted Layers that it is meant to hold, or null if it is a spare or leaves.
 * @property isBusy True while it carries out an order.
 * @property group The servers that share a copy of the model.
 */
data class LayoutState(
    val instanceId: String,
    val memoryMb: Double,
    val held: LayerRange?,
    val wanted: LayerRange?,
    val isBusy: Boolean,
    val group: Int = 0
)

/** An order to a server to hold [layers]. */
sealed interface LayoutStep {
    val instanceId: String
    val layers: LayerRange

    /** Loads layers. */
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
 * Load pattern: a server is lost under load. Where a layer is held by nobody, nothing passes
 * through the group, so all its servers move at once. Otherwise layers are given up only when
 * others hold them, so paths stay whole while the group moves.
 *
 * @param loadsAtOnce Loads that run side by side without slowing each other.
 */
fun nextSteps(
    states: List<LayoutState>,
    layerMb: Double,
    loadsAtOnce: Int
): List<LayoutStep> {
    val (broken, whole) = states.groupBy { it.group }.values.partition { it.isBroken() }
    val moves = broken.flatten().filter { !it.isBusy }.mapNotNull { directStep(it) }
    val steps = whole.flatMap { wholeGroupSteps(it, layerMb) }
    val (loads, releases) = steps.partition { it is LayoutStep.Load }
    val running = states.count { it.isBusy } + moves.size
    return moves + releases + loads.take((loadsAtOnce - running).coerceAtLeast(0))
}

private fun List<LayoutState>.isBroken(): Boolean {
    val layerCount = maxOf { maxOf(it.wanted?.to ?: 0, it.held?.to ?: 0) }
    return (0 until layerCount).any { layer -> none { it.holds(layer) } }
}

private fun directStep(state: LayoutState): LayoutStep? {
    val wanted = state.wanted ?: return null
    return if (state.held == wanted) null else LayoutStep.Load(state.instanceId, wanted)
}

private fun wholeGroupSteps(states: List<LayoutState>, layerMb: Double): List<LayoutStep> {
    val staying = states.filter { it.wanted != null }
    val isLeaving = { layer: Int -> staying.none { it.holds(layer) } }
    return staying.filter { !it.isBusy }
        .sortedByDescending { state -> state.newLayers().count(isLeaving) }
        .mapNotNull { step(it, staying, layerMb, isLeaving) }
}

private fun LayoutState.newLayers(): List<Int> =
    wanted?.let { (it.from until it.to).filter { layer -> !holds(layer) } }.orEmpty()

private fun step(
    state: LayoutState,
    states: List<LayoutState>,
    layerMb: Double,
    isLeaving: (Int) -> Boolean
): LayoutStep? {
    val wanted = state.wanted ?: return null
    val held = state.held ?: return LayoutStep.Load(state.instanceId, wanted)
    if (held == wanted) return null
    val isSpare = isHeldElsewhere(state, held, wanted, states)
    val both = held.hull(wanted)
    val fitsBoth =
        held.touches(wanted) && both.size * layerMb <= state.memoryMb * MAX_MEMORY_SHARE
    return when {
        held.contains(wanted) ->
            if (isSpare) LayoutStep.Release(state.instanceId, wanted) else null
        fitsBoth -> LayoutStep.Load(state.instanceId, both)
        isSpare || state.newLayers().any(isLeaving) -> LayoutStep.Load(state.instanceId, wanted)
        else -> null
    }
}

/** True if others that stay so hold all layers that [state] would give up. */
private fun isHeldElsewhere(
    state: LayoutState,
    held: LayerRange,
    wanted: LayerRange,
    states: List<LayoutState>
): Boolean =
    (held.from until held.to).filter { it !in wanted }.all { layer ->
        states.any { it !== state && it.wanted?.contains(layer) == true && it.holds(layer) }
    }

private fun LayoutState.holds(layer: Int): Boolean = held != null && layer in held
