package org.jacinthlink.decision.layout

import org.jacinthlink.decision.fleet.EngineProfile
import org.jacinthlink.decision.fleet.LayerRange

/** A layout is kept while it has at least this share of the memory capacity of a new layout. */
private const val MIN_CAPACITY_SHARE = 0.4

/** More servers with the first layers would leave too little memory for requests. */
private const val MAX_FIRST_SERVERS = 6

/** A repaired layout has at least this share of the memory capacity of an even split. */
private const val REPAIRED_CAPACITY_SHARE = 0.75

/**
 * Plans the layers that each of [servers] should hold. A server without a placement is a spare.
 *
 * Load patterns: the start of a fleet, and a fleet that loses or gains servers under load. In a
 * group that holds all layers with enough capacity, no server moves, because each move takes a part
 * of the group out of service; only spares may be added to the first stage. Otherwise the layers
 * are split again among the servers of the group in their present order, with a new server in the
 * place of a lost one. The split accepts a slightly lower capacity in order to load as few layers
 * as possible.
 */
fun planLayout(engine: EngineProfile, servers: List<LayoutServer>): List<Placement> {
    val modelMb = engine.layerCount * engine.layerMb
    return zoneGroups(servers, modelMb).flatMapIndexed { i, group ->
        planGroup(engine, group).map { it.copy(group = i) }
    }
}

private fun planGroup(engine: EngineProfile, group: List<LayoutServer>): List<Placement> {
    val pipeline = currentPipeline(group)
    val ideal = bestNewPipeline(engine, group) ?: return pipeline.placements()
    val next =
        when {
            pipeline.isEmpty() -> ideal
            pipeline.isGoodEnough(engine, ideal) -> pipeline
            else -> repaired(engine, pipeline, group - pipeline.servers().toSet())
        }
    return next.withMoreFirstServers(engine, group - next.servers().toSet(), ideal).placements()
}

private fun List<PipelineStage>.isGoodEnough(
    engine: EngineProfile,
    ideal: List<PipelineStage>
): Boolean =
    gaps(engine.layerCount).isEmpty() &&
        memoryCapacityTokens(engine) >= ideal.memoryCapacityTokens(engine) * MIN_CAPACITY_SHARE

/**
 * The new pipeline of [group] with the highest capacity, or null if the model does not fit.
 *
 * Load pattern: a burst of short prompts. One first server accepts fewer requests than fit into
 * the memory of a large zone, so several servers hold the first layers, and each of them accepts a
 * part of the requests.
 */
private fun bestNewPipeline(
    engine: EngineProfile,
    group: List<LayoutServer>
): List<PipelineStage>? =
    (1..minOf(group.size, MAX_FIRST_SERVERS))
        .mapNotNull { splitEvenly(engine, newPipelineSets(group, it)) }
        .maxByOrNull { it.capacityTokens(engine) }

private fun repaired(
    engine: EngineProfile,
    pipeline: List<PipelineStage>,
    spares: List<LayoutServer>
): List<PipelineStage> {
    val sets = pipeline.withSpares(spares, engine.layerCount)
    val even = splitEvenly(engine, sets) ?: return pipeline
    return splitWithFewLoads(
        engine,
        sets,
        even.memoryCapacityTokens(engine) * REPAIRED_CAPACITY_SHARE
    ) ?: even
}

/** Adds spares to the first stage until it has as many servers as the first stage of [ideal]. */
private fun List<PipelineStage>.withMoreFirstServers(
    engine: EngineProfile,
    spares: List<LayoutServer>,
    ideal: List<PipelineStage>
): List<PipelineStage> {
    val first = firstOrNull()?.takeIf { it.layers.from == 0 } ?: return this
    val missing = ideal.first().replicas.servers.size - first.replicas.servers.size
    val added =
        spares.filter { singleServer(it).maxLayers(engine.layerMb) > first.layers.size }
            .sortedWith(smallestFirst)
            .take(missing.coerceAtLeast(0))
    return listOf(first.copy(replicas = ReplicaSet(first.replicas.servers + added))) + drop(1)
}

private fun splitEvenly(engine: EngineProfile, sets: List<ReplicaSet>): List<PipelineStage>? {
    val range = LayerRange(0, engine.layerCount)
    val parts = splitByMemory(range, sets, engine.layerMb) ?: return null
    return sets.zip(parts).mapNotNull { (set, part) -> part?.let { PipelineStage(set, it) } }
}
