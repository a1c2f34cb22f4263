package org.jacinthlink.decision.layout

import org.jacinthlink.decision.fleet.LayerRange

/** A server with its layers in a chain of servers that hold one copy of a model. */
internal data class Link(val server: LayoutServer, val layers: LayerRange)

/** The holders among [group] in the order of their layers, each layer with one of them. */
internal fun chainOf(group: List<LayoutServer>): List<Link> {
    var covered = 0
    return group.mapNotNull { server -> server.held?.let { Link(server, it) } }
        .sortedWith(compareBy({ it.layers.from }, { it.layers.to }, { it.server.instanceId }))
        .mapNotNull { link ->
            val from = maxOf(link.layers.from, covered)
            covered = maxOf(covered, link.layers.to)
            link.copy(layers = LayerRange(from, link.layers.to)).takeIf { it.layers.size > 0 }
        }
}

/** Layers that no link holds; [index] is the place in the chain of a new link that would. */
internal data class ChainGap(val index: Int, val size: Int)

/** The gaps of the chain. */
internal fun List<Link>.gaps(layerCount: Int): List<ChainGap> {
    val ends = listOf(0) + map { it.layers.to }
    val starts = map { it.layers.from } + layerCount
    return ends.zip(starts).mapIndexed { i, (end, start) -> ChainGap(i, start - end) }
        .filter { it.size > 0 }
}

/**
 * The servers of the chain with [spares] where gaps are, or else in the middle.
 *
 * The largest servers of a new chain stand in its middle, where the loss of one moves the others by
 * half as much as at an end.
 */
internal fun List<Link>.withSpares(
    spares: List<LayoutServer>,
    layerCount: Int
): List<LayoutServer> {
    if (isEmpty()) return largestInTheMiddle(spares)
    val places = gaps(layerCount).sortedByDescending { it.size }.map { it.index }
        .ifEmpty { listOf(size / 2) }
    val sparesByPlace =
        spares.sortedWith(compareBy({ -it.memoryMb }, { it.instanceId }))
            .withIndex()
            .groupBy({ places[it.index % places.size] }, { it.value })
    return (0..size).flatMap { sparesByPlace[it].orEmpty() + listOfNotNull(getOrNull(it)?.server) }
}

private fun largestInTheMiddle(servers: List<LayoutServer>): List<LayoutServer> {
    val bySize = servers.sortedWith(compareBy({ it.memoryMb }, { it.instanceId }))
    val (left, right) = bySize.withIndex().partition { it.index % 2 == 0 }
    return left.map { it.value } + right.map { it.value }.reversed()
}
