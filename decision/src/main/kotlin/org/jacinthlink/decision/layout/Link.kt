package org.jacinthlink.decision.layout

import kotlin.math.floor
import org.jacinthlink.decision.fleet.EngineProfile
import org.jacinthlink.decision.fleet.LayerRange

/**
 * Servers that hold the same layers and divide the requests among themselves.
 *
 * Only the first servers of a chain have replicas: a server takes a fixed number of requests as
 * the first of a path, often fewer than the memory of its chain has room for.
 */
internal data class ReplicaSet(val servers: List<LayoutServer>) {
    private val memoryMb = servers.sumOf { it.memoryMb }

    /** Memory for requests in each of [layers] layers, in all servers together. */
    fun roomMbPerLayer(layers: Int, layerMb: Double): Double =
        memoryMb / layers - servers.size * layerMb

    /** Most layers that each server can hold with [roomMb] left for requests in each layer. */
    fun mostLayers(layerMb: Double, roomMb: Double = 0.0): Int {
        val byServer = servers.minOf { it.memoryMb } / layerMb
        return floor(minOf(byServer, memoryMb / (servers.size * layerMb + roomMb))).toInt()
    }
}

/** A set of one server. */
internal fun withoutReplicas(server: LayoutServer) = ReplicaSet(listOf(server))

/** Servers with little memory first; instance ids settle ties. */
internal val smallestFirst: Comparator<LayoutServer> =
    compareBy({ it.memoryMb }, { it.instanceId })

/** Replicas with their layers in a chain of servers that hold one copy of a model. */
internal data class Link(val replicas: ReplicaSet, val layers: LayerRange)

/** The wishes that the servers of the links hold their layers. */
internal fun List<Link>.placements(): List<Placement> =
    flatMap { link -> link.replicas.servers.map { Placement(it.instanceId, link.layers) } }

/** All servers of the links. */
internal fun List<Link>.servers(): List<LayoutServer> = flatMap { it.replicas.servers }

/** Tokens of requests that the tightest link has room for. */
internal fun List<Link>.roomTokens(engine: EngineProfile): Double =
    minOfOrNull { link ->
        link.replicas.roomMbPerLayer(link.layers.size, engine.layerMb) / engine.tokenLayerMb
    } ?: 0.0

/** The same, or what the first servers take if that is less. */
internal fun List<Link>.capacityTokens(engine: EngineProfile): Double {
    val first = firstOrNull() ?: return 0.0
    return minOf(roomTokens(engine), first.replicas.servers.size * engine.firstServerTokens)
}

/** The holders among [group] in the order of their layers, each layer with one of them. */
internal fun chainOf(group: List<LayoutServer>): List<Link> {
    var covered = 0
    val chain = group.filter { it.held != null }
        .sortedWith(compareBy({ it.held?.from }, { it.held?.to }, { it.instanceId }))
        .mapNotNull { server ->
            val held = checkNotNull(server.held)
            val from = maxOf(held.from, covered)
            covered = maxOf(covered, held.to)
            Link(withoutReplicas(server), LayerRange(from, held.to))
                .takeIf { it.layers.size > 0 }
        }
    return chain.withFirstReplicas(group)
}

private fun List<Link>.withFirstReplicas(group: List<LayoutServer>): List<Link> {
    val first = firstOrNull()?.takeIf { it.layers.from == 0 } ?: return this
    val replicas = group.filter { it.held == first.layers }.sortedBy { it.instanceId }
    return listOf(first.copy(replicas = ReplicaSet(replicas))) + drop(1)
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

/** The replicas of the chain with [spares] where gaps are, or else in the middle. */
internal fun List<Link>.withSpares(spares: List<LayoutServer>, layerCount: Int): List<ReplicaSet> {
    val places = gaps(layerCount).sortedByDescending { it.size }.map { it.index }
        .ifEmpty { listOf(size / 2) }
    val sparesByPlace =
        spares.sortedWith(compareBy({ -it.memoryMb }, { it.instanceId }))
            .withIndex()
            .groupBy({ places[it.index % places.size] }, { withoutReplicas(it.value) })
    return (0..size).flatMap {
        sparesByPlace[it].orEmpty() + listOfNotNull(getOrNull(it)?.replicas)
    }
}

/**
 * The order of [servers] in a new chain whose first layers [firstCount] of them hold.
 *
 * The smallest are first, since their layers are held several times. The largest stand in the
 * middle, where the loss of one moves the others by half as much as at an end.
 */
internal fun newOrder(servers: List<LayoutServer>, firstCount: Int): List<ReplicaSet> {
    val bySize = servers.sortedWith(smallestFirst)
    val (left, right) = bySize.drop(firstCount).withIndex().partition { it.index % 2 == 0 }
    val others = left.map { it.value } + right.map { it.value }.reversed()
    return listOf(ReplicaSet(bySize.take(firstCount))) + others.map { withoutReplicas(it) }
}
