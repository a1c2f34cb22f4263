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

/** Index in the chain at which a new link would fill the first gap, or null if there is none. */
internal fun List<Link>.firstGap(layerCount: Int): Int? {
    var covered = 0
    forEachIndexed { i, link ->
        if (link.layers.from > covered) return i
        covered = maxOf(covered, link.layers.to)
    }
    return if (covered < layerCount) size else null
}

/**
 * The servers of the chain with [spares] where a gap is, or else in the middle.
 *
 * The largest servers of a new chain stand in its middle, where the loss of one moves the others by
 * half as much as at an end.
 */
internal fun List<Link>.withSpares(
    spares: List<LayoutServer>,
    layerCount: Int
): List<LayoutServer> {
    val servers = map { it.server }
    if (isEmpty()) return largestInTheMiddle(spares)
    val at = firstGap(layerCount) ?: (size / 2)
    return servers.take(at) + spares.sortedBy { it.instanceId } + servers.drop(at)
}

private fun largestInTheMiddle(servers: List<LayoutServer>): List<LayoutServer> {
    val bySize = servers.sortedWith(compareBy({ it.memoryMb }, { it.instanceId }))
    val (left, right) = bySize.withIndex().partition { it.index % 2 == 0 }
    return left.map { it.value } + right.map { it.value }.reversed()
}
