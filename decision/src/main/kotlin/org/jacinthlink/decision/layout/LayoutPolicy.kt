package org.jacinthlink.decision.layout

import org.jacinthlink.decision.fleet.EngineProfile
import org.jacinthlink.decision.fleet.LayerRange

/** A layout is kept while its tightest part has this share of the room that it could have. */
private const val MIN_ROOM_SHARE = 0.4

/** Most servers that hold the first layers of a chain; more would take memory from requests. */
private const val MAX_FIRST_SERVERS = 6

/** A layout that is mended leaves this share of the room that it could have. */
private const val MENDED_ROOM_SHARE = 0.75

/**
 * Layers that each of [servers] should hold; a server that is not named is a spare.
 *
 * Load patterns: the start of a fleet, and a fleet that loses or gains servers under load. A group
 * that holds all layers with enough room stays as it is, because each move takes a part of it out
 * of use. Otherwise its servers share the layers anew in their present order, a newcomer in the
 * place of a lost one, with as few layers to load as a little less room allows.
 */
fun planLayout(engine: EngineProfile, servers: List<LayoutServer>): List<Placement> {
    val modelMb = engine.layerCount * engine.layerMb
    return zoneGroups(servers, modelMb).flatMapIndexed { i, group ->
        planGroup(engine, group).map { it.copy(group = i) }
    }
}

private fun planGroup(engine: EngineProfile, group: List<LayoutServer>): List<Placement> {
    val chain = chainOf(group)
    val ideal = bestNewChain(engine, group) ?: return chain.placements()
    val next =
        when {
            chain.isEmpty() -> ideal
            chain.isGoodEnough(engine, ideal) -> chain
            else -> mended(engine, chain, group - chain.servers().toSet())
        }
    return next.withMoreFirst(engine, group - next.servers().toSet(), ideal).placements()
}

private fun List<Link>.isGoodEnough(engine: EngineProfile, ideal: List<Link>): Boolean =
    gaps(engine.layerCount).isEmpty() &&
        roomTokens(engine) >= ideal.roomTokens(engine) * MIN_ROOM_SHARE

/**
 * The new chain of [group] that takes most requests, or null if the model does not fit.
 *
 * Load pattern: a burst of short prompts. One first server takes fewer requests than the memory of
 * a large zone has room for, so several servers hold the first layers, each of them for a part of
 * the requests.
 */
private fun bestNewChain(engine: EngineProfile, group: List<LayoutServer>): List<Link>? =
    (1..minOf(group.size, MAX_FIRST_SERVERS))
        .mapNotNull { splitAnew(engine, newOrder(group, it)) }
        .maxByOrNull { it.capacityTokens(engine) }

private fun mended(
    engine: EngineProfile,
    chain: List<Link>,
    spares: List<LayoutServer>
): List<Link> {
    val sets = chain.withSpares(spares, engine.layerCount)
    val even = splitAnew(engine, sets) ?: return chain
    return splitWithFewLoads(engine, sets, even.roomTokens(engine) * MENDED_ROOM_SHARE) ?: even
}

/** Lets spares hold the first layers too, up to the number of servers that [ideal] has there. */
private fun List<Link>.withMoreFirst(
    engine: EngineProfile,
    spares: List<LayoutServer>,
    ideal: List<Link>
): List<Link> {
    val first = firstOrNull()?.takeIf { it.layers.from == 0 } ?: return this
    val missing = ideal.first().replicas.servers.size - first.replicas.servers.size
    val added =
        spares.filter { withoutReplicas(it).mostLayers(engine.layerMb) > first.layers.size }
            .sortedWith(smallestFirst)
            .take(missing.coerceAtLeast(0))
    return listOf(first.copy(replicas = ReplicaSet(first.replicas.servers + added))) + drop(1)
}

private fun splitAnew(engine: EngineProfile, sets: List<ReplicaSet>): List<Link>? {
    val range = LayerRange(0, engine.layerCount)
    val parts = splitByMemory(range, sets, engine.layerMb) ?: return null
    return sets.zip(parts).mapNotNull { (set, part) -> part?.let { Link(set, it) } }
}
