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
 * Load pattern: a server is lost or leaves under load. Where a layer is held by no server that
 * stays, the group takes no new requests; its servers move all at once as soon as [isIdle], since
 * an engine gives layers up only after the requests that pass through them. Otherwise layers are
 * given up only when others hold them, so paths stay whole while the group moves.
 *
 * @param loadsAtOnce Loads that run side by side without slowing each other.
 */
fun nextSteps(
    states: List<LayoutState>,
    layerMb: Double,
    loadsAtOnce: Int,
    isIdle: (group: Int) -> Boolean
): List<LayoutStep> {
    val (broken, whole) = states.groupBy { it.group }.values.partition { it.isBroken() }
    val moves =
        broken.filter { isIdle(it.first().group) }
            .flatten()
            .filter { !it.isBusy }
            .mapNotNull { directStep(it) }
    val steps = whole.flatMap { wholeGroupSteps(it, layerMb) }
    val (loads, releases) = steps.partition { it is LayoutStep.Load }
    val running = states.count { it.isBusy } + moves.size
    return moves + releases + loads.take((loadsAtOnce - running).coerceAtLeast(0))
}

/** True if no server of the group that stays holds some layer. */
fun List<LayoutState>.isBroken(): Boolean {
    val layerCount = maxOf { maxOf(it.wanted?.to ?: 0, it.held?.to ?: 0) }
    return (0 until layerCount).any { layer -> none { it.wanted != null && it.holds(layer) } }
}

private fun directStep(state: LayoutState): LayoutStep? {
    val wanted = state.wanted ?: return null
    return if (state.held == wanted) null else LayoutStep.Load(state.instanceId, wanted)
}

private fun wholeGroupSteps(states: List<LayoutState>, layerMb: Double): List<LayoutStep> {
    val staying = states.filter { it.wanted != null }
    return staying.filter { !it.isBusy }.mapNotNull { step(it, staying, layerMb) }
}

private fun step(
    state: LayoutState,
    states: List<LayoutState>,
    layerMb: Double
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
        isSpare -> LayoutStep.Load(state.instanceId, wanted)
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
