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
    fun requestMbPerLayer(layers: Int, layerMb: Double): Double =
        memoryMb / layers - servers.size * layerMb

    /**
     * Maximum number of layers that each server can hold if [requestMb] per layer, over all
     * servers, is left for requests.
     */
    fun maxLayers(layerMb: Double, requestMb: Double = 0.0): Int {
        val byServer = servers.minOf { it.memoryMb } / layerMb
        return floor(minOf(byServer, memoryMb / (servers.size * layerMb + requestMb))).toInt()
    }
}

internal fun singleServer(server: LayoutServer) = ReplicaSet(listOf(server))

/** Servers with less memory come first, and equal ones in the order of their instance ids. */
internal val smallestFirst: Comparator<LayoutServer> =
    compareBy({ it.memoryMb }, { it.instanceId })

/** A stage of a pipeline that holds one copy of a model: replicas and the layers they hold. */
internal data class PipelineStage(val replicas: ReplicaSet, val layers: LayerRange)

/** Target placements of the servers of all stages. */
internal fun List<PipelineStage>.placements(): List<Placement> =
    flatMap { stage -> stage.replicas.servers.map { Placement(it.instanceId, stage.layers) } }

internal fun List<PipelineStage>.servers(): List<LayoutServer> = flatMap { it.replicas.servers }

/** Tokens of requests that fit into the memory of the stage with the least capacity. */
internal fun List<PipelineStage>.memoryCapacityTokens(engine: EngineProfile): Double =
    minOfOrNull { stage ->
        stage.replicas.requestMbPerLayer(stage.layers.size, engine.layerMb) / engine.tokenLayerMb
    } ?: 0.0

/** Like [memoryCapacityTokens], but limited to the requests that the first servers accept. */
internal fun List<PipelineStage>.capacityTokens(engine: EngineProfile): Double {
    val first = firstOrNull() ?: return 0.0
    return minOf(
        memoryCapacityTokens(engine),
        first.replicas.servers.size * engine.firstServerTokens
    )
}

/**
 * The pipeline of the servers in [group] that hold layers, in the order of the layers.
 *
 * Each layer belongs to at most one stage. Only the first stage can have several servers.
 */
internal fun currentPipeline(group: List<LayoutServer>): List<PipelineStage> {
    var covered = 0
    val pipeline = group.filter { it.held != null }
        .sortedWith(compareBy({ it.held?.from }, { it.held?.to }, { it.instanceId }))
        .mapNotNull { server ->
            val held = checkNotNull(server.held)
            val from = maxOf(held.from, covered)
            covered = maxOf(covered, held.to)
            PipelineStage(singleServer(server), LayerRange(from, held.to))
                .takeIf { it.layers.size > 0 }
        }
    return pipeline.withFirstStageReplicas(group)
}

private fun List<PipelineStage>.withFirstStageReplicas(
    group: List<LayoutServer>
): List<PipelineStage> {
    val first = firstOrNull()?.takeIf { it.layers.from == 0 } ?: return this
    val replicas = group.filter { it.held == first.layers }.sortedBy { it.instanceId }
    return listOf(first.copy(replicas = ReplicaSet(replicas))) + drop(1)
}

/**
 * Consecutive layers that no stage holds.
 *
 * @property index Position in the pipeline at which a stage for these layers would be inserted.
 * @property size Number of these layers.
 */
internal data class LayerGap(val index: Int, val size: Int)

internal fun List<PipelineStage>.gaps(layerCount: Int): List<LayerGap> {
    val ends = listOf(0) + map { it.layers.to }
    val starts = map { it.layers.from } + layerCount
    return ends.zip(starts).mapIndexed { i, (end, start) -> LayerGap(i, start - end) }
        .filter { it.size > 0 }
}

/**
 * The replica sets of the pipeline, with [spares] inserted where layers are missing, or in the
 * middle if no layers are missing.
 */
internal fun List<PipelineStage>.withSpares(
    spares: List<LayoutServer>,
    layerCount: Int
): List<ReplicaSet> {
    val places = gaps(layerCount).sortedByDescending { it.size }.map { it.index }
        .ifEmpty { listOf(size / 2) }
    val sparesByPlace =
        spares.sortedWith(compareBy({ -it.memoryMb }, { it.instanceId }))
            .withIndex()
            .groupBy({ places[it.index % places.size] }, { singleServer(it.value) })
    return (0..size).flatMap {
        sparesByPlace[it].orEmpty() + listOfNotNull(getOrNull(it)?.replicas)
    }
}

/**
 * The replica sets of [servers], in their order in a new pipeline in which [firstCount] servers
 * hold the first layers.
 *
 * The servers with the least memory come first, because several servers hold the first layers. The
 * servers with the most memory are in the middle: the loss of a server there shifts the layers of
 * the others by half as much as the loss of a server at an end.
 */
internal fun newPipelineSets(servers: List<LayoutServer>, firstCount: Int): List<ReplicaSet> {
    val bySize = servers.sortedWith(smallestFirst)
    val (left, right) = bySize.drop(firstCount).withIndex().partition { it.index % 2 == 0 }
    val others = left.map { it.value } + right.map { it.value }.reversed()
    return listOf(ReplicaSet(bySize.take(firstCount))) + others.map { singleServer(it) }
}
