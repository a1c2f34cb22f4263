package org.jacinthlink.decision.layout

import kotlin.math.floor
import org.jacinthlink.decision.fleet.LayerRange

/**
 * The layers that a server holds and should hold.
 *
 * @property held Layers that the server holds now, or null.
 * @property target Layers that the server should hold, or null if it is a spare or is draining.
 * @property isBusy True while the server carries out an order.
 * @property isLoading True if that order loads layers and releases none.
 * @property group Number of the group of servers that share a copy of the model.
 */
data class ServerLayoutState(
    val instanceId: String,
    val memoryMb: Double,
    val held: LayerRange?,
    val target: LayerRange?,
    val isBusy: Boolean,
    val isLoading: Boolean = isBusy,
    val group: Int = 0
)

/** An order to a server to hold [layers]. */
sealed interface LayoutStep {
    val instanceId: String
    val layers: LayerRange

    /** Loads those of [layers] that the server does not hold. */
    data class Load(override val instanceId: String, override val layers: LayerRange) : LayoutStep

    /** Releases layers that other servers hold. */
    data class Release(override val instanceId: String, override val layers: LayerRange) :
        LayoutStep
}

/**
 * Share of a server's memory that weights may use while the server holds old and new layers. The
 * requests of a usual load need the rest; a server with less free memory would reject them.
 */
private const val MAX_MEMORY_SHARE = 0.8

/** The same share in a group that lacks a layer, where little capacity is better than none. */
private const val MAX_INCOMPLETE_GROUP_MEMORY_SHARE = 0.95

/**
 * Returns the orders that can be given now, the most urgent first.
 *
 * Load patterns: a server is lost or drains under load, or servers of all groups are lost or drain.
 * [MigrationMode] lists the ways in which a group reaches its target layers.
 *
 * @param loadsAtOnce Number of loads that run in parallel without slowing each other down.
 * @param modeOf Migration mode of each group.
 */
fun nextSteps(
    states: List<ServerLayoutState>,
    layerMb: Double,
    loadsAtOnce: Int,
    modeOf: (group: Int) -> MigrationMode
): List<LayoutStep> {
    val groups = states.groupBy { it.group }
    val together =
        directSteps(
            groups.filterKeys { modeOf(it) == MigrationMode.TOGETHER },
            layerMb,
            loadsAtOnce
        )
    val loadsWithoutRelease =
        groups.filterKeys { modeOf(it) == MigrationMode.WAIT }.values.flatten()
            .filter { !it.isBusy }
            .mapNotNull { it.loadBesideHeld(it.maxLayers(MAX_MEMORY_SHARE, layerMb)) }
    val steps =
        groups.filterKeys { modeOf(it) == MigrationMode.STEPWISE }.values
            .flatMap { stepwiseSteps(it, layerMb) }
    val (loads, releases) = steps.partition { it.step is LayoutStep.Load }
    val running = states.count { it.isLoading } + together.size + loadsWithoutRelease.size
    val urgentFirst = loads.sortedByDescending { it.missingCount }
    return together + loadsWithoutRelease + releases.map { it.step } +
        urgentFirst.take((loadsAtOnce - running).coerceAtLeast(0)).map { it.step }
}

/** How the servers of a group change to their target layers. */
enum class MigrationMode {
    /**
     * A server releases layers only when other servers hold them, so the paths stay complete and
     * other groups can borrow layers in the meantime.
     */
    STEPWISE,

    /**
     * All servers change at once, which is fastest while no request passes through the group. A
     * server with enough memory still loads first and releases afterwards, because a release waits
     * for the requests that pass through its layers, also those of other groups that borrow them.
     */
    TOGETHER,

    /**
     * Requests still pass through a group whose servers are about to change at once. Until no
     * request passes through the group, servers that hold layers load further ones if they have
     * enough memory, and release none.
     */
    WAIT
}

/** A step and the number of its layers that no server with a target in the group holds. */
private class RankedStep(val step: LayoutStep, val missingCount: Int)

/** True if some layer is held by no server that has a target in the group. */
fun List<ServerLayoutState>.lacksLayers(): Boolean {
    val layerCount = maxOf { maxOf(it.target?.to ?: 0, it.held?.to ?: 0) }
    return (0 until layerCount).any { layer -> none { it.target != null && it.holds(layer) } }
}

/**
 * Orders to the groups whose servers all change at once. The group with the fewest layers to load
 * comes first, because a group can serve requests as soon as it holds all layers.
 */
private fun directSteps(
    groups: Map<Int, List<ServerLayoutState>>,
    layerMb: Double,
    loadsAtOnce: Int
): List<LayoutStep> {
    var running = 0
    return groups.values.sortedBy { it.layersToLoad() }.flatMap { group ->
        val steps =
            if (running >= loadsAtOnce) {
                emptyList()
            } else {
                group.filter { !it.isBusy }.mapNotNull { directStep(it, group, layerMb) }
            }
        running += steps.size + group.count { it.isLoading }
        steps
    }
}

private fun List<ServerLayoutState>.layersToLoad(): Int = sumOf { state ->
    val target = state.target ?: return@sumOf 0
    target.size - (state.held?.countBetween(target.from, target.to) ?: 0)
}

private fun directStep(
    state: ServerLayoutState,
    states: List<ServerLayoutState>,
    layerMb: Double
): LayoutStep? {
    val target = state.target ?: return null
    val held = state.held
    val maxLayers = state.maxLayers(MAX_INCOMPLETE_GROUP_MEMORY_SHARE, layerMb)
    return when {
        held == target -> null
        held != null && held.contains(target) -> releaseIfRedundant(state, held, target, states)
        else -> state.loadBesideHeld(maxLayers) ?: LayoutStep.Load(state.instanceId, target)
    }
}

/**
 * Load of the missing target layers beside the held ones. Null if none are missing, or if the
 * server would have to release layers first because it may hold [maxLayers] in the meantime.
 */
private fun ServerLayoutState.loadBesideHeld(maxLayers: Int): LayoutStep.Load? {
    if (target == null || held == null || held.contains(target)) return null
    val both = held.hull(target)
    val fits = both == target || held.touches(target) && both.size <= maxLayers
    return LayoutStep.Load(instanceId, both).takeIf { fits }
}

private fun ServerLayoutState.maxLayers(memoryShare: Double, layerMb: Double): Int =
    floor(memoryMb * memoryShare / layerMb).toInt()

private fun releaseIfRedundant(
    state: ServerLayoutState,
    held: LayerRange,
    target: LayerRange,
    states: List<ServerLayoutState>
): LayoutStep.Release? =
    LayoutStep.Release(state.instanceId, target)
        .takeIf { isHeldElsewhere(state, held, target, states) }

private fun stepwiseSteps(states: List<ServerLayoutState>, layerMb: Double): List<RankedStep> {
    val withTarget = states.filter { it.target != null }
    val memoryShare =
        if (states.lacksLayers()) MAX_INCOMPLETE_GROUP_MEMORY_SHARE else MAX_MEMORY_SHARE
    val steps =
        withTarget.filter { !it.isBusy }
            .mapNotNull { step(it, withTarget, it.maxLayers(memoryShare, layerMb)) }
    return steps.map { step ->
        val layers = step.layers.from until step.layers.to
        RankedStep(step, layers.count { layer -> withTarget.none { it.holds(layer) } })
    }
}

private fun step(
    state: ServerLayoutState,
    states: List<ServerLayoutState>,
    maxLayers: Int
): LayoutStep? {
    val target = state.target ?: return null
    val held = state.held ?: return LayoutStep.Load(state.instanceId, target)
    return when {
        held == target -> null
        held.contains(target) -> releaseIfRedundant(state, held, target, states)
        else ->
            state.loadBesideHeld(maxLayers)
                ?: LayoutStep.Load(state.instanceId, target)
                    .takeIf { isHeldElsewhere(state, held, target, states) }
    }
}

/** True if other servers hold and keep all layers that the server of [state] would release. */
private fun isHeldElsewhere(
    state: ServerLayoutState,
    held: LayerRange,
    target: LayerRange,
    states: List<ServerLayoutState>
): Boolean =
    (held.from until held.to).filter { it !in target }.all { layer ->
        states.any { it !== state && it.target?.contains(layer) == true && it.holds(layer) }
    }

private fun ServerLayoutState.holds(layer: Int): Boolean = held != null && layer in held
