package org.jacinthlink.decision.layout

import kotlin.math.floor
import org.jacinthlink.decision.fleet.EngineProfile
import org.jacinthlink.decision.fleet.LayerRange

/**
 * Servers that hold the same layers and share the requests.
 *
 * Only the first stage of a pipeline has more than one server: a server accepts a fixed number of
 * requests as the first server of a path, often fewer than fit into the memory of the pipeline.
 */
internal data class ReplicaSet(val servers: List<LayoutServer>) {
    private val memoryMb = servers.sumOf { it.memoryMb }

    /** Memory in MB for requests per layer, over all servers, if each holds [layers] layers. */
    fun roomMbPerLayer(layers: Int, layerMb: Double): Double =
        memoryMb / layers - servers.size * layerMb

    /**
     * Maximum number of layers that each server can hold if [roomMb] per layer, over all servers,
     * is left for requests.
     */
    fun mostLayers(layerMb: Double, roomMb: Double = 0.0): Int {
        val byServer = servers.minOf { it.memoryMb } / layerMb
        return floor(minOf(byServer, memoryMb / (servers.size * layerMb + roomMb))).toInt()
    }
}

internal fun withoutReplicas(server: LayoutServer) = ReplicaSet(listOf(server))

/** Servers with less memory come first, and equal ones in the order of their instance ids. */
internal val smallestFirst: Comparator<LayoutServer> =
    compareBy({ it.memoryMb }, { it.instanceId })

/** A stage of a pipeline that holds one copy of a model: replicas and the layers they hold. */
internal data class Link(val replicas: ReplicaSet, val layers: LayerRange)

/** Target placements of the servers of all stages. */
internal fun List<Link>.placements(): List<Placement> =
    flatMap { link -> link.replicas.servers.map { Placement(it.instanceId, link.layers) } }

internal fun List<Link>.servers(): List<LayoutServer> = flatMap { it.replicas.servers }

/** Tokens of requests that fit into the memory of the stage with the least capacity. */
internal fun List<Link>.roomTokens(engine: EngineProfile): Double =
    minOfOrNull { link ->
        link.replicas.roomMbPerLayer(link.layers.size, engine.layerMb) / engine.tokenLayerMb
    } ?: 0.0

/** Like [roomTokens], but at most the tokens of the requests that the first servers accept. */
internal fun List<Link>.capacityTokens(engine: EngineProfile): Double {
    val first = firstOrNull() ?: return 0.0
    return minOf(roomTokens(engine), first.replicas.servers.size * engine.firstServerTokens)
}

/**
 * The pipeline of the servers in [group] that hold layers, in the order of the layers.
 *
 * Each layer belongs to one stage. Only the first stage has several servers.
 */
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

/** Layers that no stage holds; [index] is the position in the pipeline of a stage for them. */
internal data class ChainGap(val index: Int, val size: Int)

internal fun List<Link>.gaps(layerCount: Int): List<ChainGap> {
    val ends = listOf(0) + map { it.layers.to }
    val starts = map { it.layers.from } + layerCount
    return ends.zip(starts).mapIndexed { i, (end, start) -> ChainGap(i, start - end) }
        .filter { it.size > 0 }
}

/**
 * The replica sets of the pipeline, with [spares] added where layers are missing, or in the middle
 * if none are.
 */
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
 * The order of [servers] in a new pipeline in which [firstCount] of them hold the first layers.
 *
 * The servers with the least memory come first, because several servers hold the first layers. The
 * servers with the most memory are in the middle, where the loss of one shifts the layers of the
 * others by half as much as at an end.
 */
internal fun newOrder(servers: List<LayoutServer>, firstCount: Int): List<ReplicaSet> {
    val bySize = servers.sortedWith(smallestFirst)
    val (left, right) = bySize.drop(firstCount).withIndex().partition { it.index % 2 == 0 }
    val others = left.map { it.value } + right.map { it.value }.reversed()
    return listOf(ReplicaSet(bySize.take(firstCount))) + others.map { withoutReplicas(it) }
}
