package org.jacinthlink.decision.layout

import kotlin.math.floor
import org.jacinthlink.decision.fleet.LayerRange

/**
 * What a server holds and is meant to hold.
 *
 * @property held Layers that it holds now, or null.
 * @property wanted Layers that it is meant to hold, or null if it is a spare or leaves.
 * @property isBusy True while it carries out an order.
 * @property isLoading True if that order loads layers and gives none up.
 * @property group The servers that share a copy of the model.
 */
data class ServerLayoutState(
    val instanceId: String,
    val memoryMb: Double,
    val held: LayerRange?,
    val wanted: LayerRange?,
    val isBusy: Boolean,
    val isLoading: Boolean = isBusy,
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

/**
 * Part of a server's memory that weights may take while it holds old and new layers. The rest is
 * what the requests of a usual load need, which a fuller server would turn away.
 */
private const val MAX_MEMORY_SHARE = 0.8

/** The same in a group that lacks a layer: little room is better than none. */
private const val MAX_BROKEN_MEMORY_SHARE = 0.95

/**
 * The orders that can be given now, the most urgent first.
 *
 * Load patterns: a server is lost or leaves under load, or servers of all groups do. See
 * [MigrationMode] for the ways to move a group.
 *
 * @param loadsAtOnce Loads that run side by side without slowing each other.
 */
fun nextSteps(
    states: List<ServerLayoutState>,
    layerMb: Double,
    loadsAtOnce: Int,
    moveOf: (group: Int) -> MigrationMode
): List<LayoutStep> {
    val groups = states.groupBy { it.group }
    val together = directSteps(groups.filterKeys { moveOf(it) == MigrationMode.TOGETHER }, loadsAtOnce)
    val growing =
        groups.filterKeys { moveOf(it) == MigrationMode.WAIT }.values.flatten()
            .filter { !it.isBusy && it.isGrowing() }
            .mapNotNull { directStep(it) }
    val steps =
        groups.filterKeys { moveOf(it) == MigrationMode.STEPWISE }.values
            .flatMap { stepwise(it, layerMb) }
    val (loads, releases) = steps.partition { it.step is LayoutStep.Load }
    val running = states.count { it.isLoading } + together.size + growing.size
    val urgentFirst = loads.sortedByDescending { it.missingCount }
    return together + growing + releases.map { it.step } +
        urgentFirst.take((loadsAtOnce - running).coerceAtLeast(0)).map { it.step }
}

/** How the servers of a group move to the layers that they are meant to hold. */
enum class MigrationMode {
    /**
     * Layers are given up only when others hold them, so paths stay whole and other groups can
     * borrow layers meanwhile.
     */
    STEPWISE,

    /** All servers move at once, which is fastest while nothing passes through the group. */
    TOGETHER,

    /** Requests still pass through a group that is about to move at once; nothing is given up. */
    WAIT
}

/** A step and the number of its layers that no staying server of the group holds. */
private class RankedStep(val step: LayoutStep, val missingCount: Int)

/** True if no server of the group that stays holds some layer. */
fun List<ServerLayoutState>.lacksLayers(): Boolean {
    val layerCount = maxOf { maxOf(it.wanted?.to ?: 0, it.held?.to ?: 0) }
    return (0 until layerCount).any { layer -> none { it.wanted != null && it.holds(layer) } }
}

/** Moves the group with the fewest layers to load first: one that is whole serves again. */
private fun directSteps(
    groups: Map<Int, List<ServerLayoutState>>,
    loadsAtOnce: Int
): List<LayoutStep> {
    var running = 0
    return groups.values.sortedBy { it.layersToLoad() }.flatMap { group ->
        val steps =
            if (running >= loadsAtOnce) {
                emptyList()
            } else {
                group.filter { !it.isBusy }.mapNotNull { directStep(it) }
            }
        running += steps.size + group.count { it.isLoading }
        steps
    }
}

private fun List<ServerLayoutState>.layersToLoad(): Int = sumOf { state ->
    val wanted = state.wanted ?: return@sumOf 0
    wanted.size - (state.held?.countBetween(wanted.from, wanted.to) ?: 0)
}

/** True if the server keeps all that it holds. */
private fun ServerLayoutState.isGrowing(): Boolean =
    wanted != null && held != null && wanted.contains(held)

private fun directStep(state: ServerLayoutState): LayoutStep? {
    val wanted = state.wanted ?: return null
    return if (state.held == wanted) null else LayoutStep.Load(state.instanceId, wanted)
}

private fun stepwise(states: List<ServerLayoutState>, layerMb: Double): List<RankedStep> {
    val staying = states.filter { it.wanted != null }
    val memoryShare = if (states.lacksLayers()) MAX_BROKEN_MEMORY_SHARE else MAX_MEMORY_SHARE
    val steps =
        staying.filter { !it.isBusy }
            .mapNotNull { step(it, staying, floor(it.memoryMb * memoryShare / layerMb).toInt()) }
    return steps.map { step ->
        val layers = step.layers.from until step.layers.to
        RankedStep(step, layers.count { layer -> staying.none { it.holds(layer) } })
    }
}

private fun step(
    state: ServerLayoutState,
    states: List<ServerLayoutState>,
    mostLayers: Int
): LayoutStep? {
    val wanted = state.wanted ?: return null
    val held = state.held ?: return LayoutStep.Load(state.instanceId, wanted)
    if (held == wanted) return null
    val isSpare = isHeldElsewhere(state, held, wanted, states)
    val both = held.hull(wanted)
    val fitsBoth = held.touches(wanted) && both.size <= mostLayers
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
    state: ServerLayoutState,
    held: LayerRange,
    wanted: LayerRange,
    states: List<ServerLayoutState>
): Boolean =
    (held.from until held.to).filter { it !in wanted }.all { layer ->
        states.any { it !== state && it.wanted?.contains(layer) == true && it.holds(layer) }
    }

private fun ServerLayoutState.holds(layer: Int): Boolean = held != null && layer in held
