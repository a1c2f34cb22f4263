package org.jacinthlink.decision.layout

import org.jacinthlink.decision.fleet.EngineProfile
import org.jacinthlink.decision.fleet.LayerRange

/**
 * Additional cost of each server that loads layers, because its load needs an order and reports.
 * The unit is the cost of one loaded layer.
 */
private const val ORDER_COST = 0.5

/** Weight of the cost of uneven memory use, relative to the cost of one loaded layer. */
private const val MEMORY_USE_WEIGHT = 0.05

/**
 * Splits all layers among [sets] in their order with as few layers to load as possible, so that
 * each share leaves memory for [requiredTokens] tokens of requests. Returns null if the shares do
 * not fit.
 *
 * Load pattern: a large server of a zone is lost under load. A zone whose servers all change their
 * layers serves nothing for seconds, because the weight store slows down. Most servers can keep
 * their layers if their neighbours take a few more.
 */
internal fun splitWithFewLoads(
    engine: EngineProfile,
    sets: List<ReplicaSet>,
    requiredTokens: Double
): List<PipelineStage>? {
    val rows = sets.runningFold(firstRow(engine.layerCount)) { row, set ->
        nextRow(row, set, engine, requiredTokens)
    }
    if (rows.last().costs.last().isInfinite()) return null
    var to = engine.layerCount
    return sets.indices.reversed().mapNotNull { i ->
        val from = to - rows[i + 1].sizes[to]
        val layers = LayerRange(from, to)
        to = from
        PipelineStage(sets[i], layers).takeIf { layers.size > 0 }
    }.reversed()
}

/**
 * A row of the dynamic-programming table: for each end, the cheapest split of the layers from 0 up
 * to that end (exclusive) among the first replica sets. The number of sets is the row's index.
 *
 * @property costs Minimum cost, in units of one loaded layer, indexed by the end.
 * @property sizes Number of layers of the last of these sets in that split, indexed by the end.
 */
private class SplitRow(val costs: DoubleArray, val sizes: IntArray)

private fun firstRow(layerCount: Int): SplitRow {
    val costs = DoubleArray(layerCount + 1) { Double.POSITIVE_INFINITY }
    costs[0] = 0.0
    return SplitRow(costs, IntArray(layerCount + 1))
}

private fun nextRow(
    previous: SplitRow,
    set: ReplicaSet,
    engine: EngineProfile,
    requiredTokens: Double
): SplitRow {
    val maxSize = set.maxLayers(engine.layerMb, requiredTokens * engine.tokenLayerMb)
    val costs = previous.costs.copyOf()
    val sizes = IntArray(costs.size)
    for (to in costs.indices) {
        for (size in 1..minOf(maxSize, to)) {
            val layers = LayerRange(to - size, to)
            val cost =
                previous.costs[layers.from] +
                    set.servers.sumOf { costOf(it, layers, engine.layerMb) }
            if (cost < costs[to]) {
                costs[to] = cost
                sizes[to] = size
            }
        }
    }
    return SplitRow(costs, sizes)
}

private fun costOf(server: LayoutServer, layers: LayerRange, layerMb: Double): Double {
    val loads = layers.size - (server.held?.countBetween(layers.from, layers.to) ?: 0)
    val orderCost = if (loads > 0) ORDER_COST else 0.0
    val memoryUseCost = MEMORY_USE_WEIGHT * layerMb / server.memoryMb * layers.size * layers.size
    return loads + orderCost + memoryUseCost
}
