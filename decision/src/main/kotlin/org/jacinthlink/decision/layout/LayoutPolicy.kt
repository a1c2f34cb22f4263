package org.jacinthlink.decision.layout

import org.jacinthlink.decision.fleet.EngineProfile
import org.jacinthlink.decision.fleet.LayerRange

/** A layout is kept while its tightest part has this share of the room that it could have. */
private const val MIN_ROOM_SHARE = 0.4

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
    val spares = group.filter { server -> chain.none { it.server === server } }
    val present = chain.map { Placement(it.server.instanceId, it.layers) }
    val ordered = chain.withSpares(spares, engine.layerCount)
    val ideal = splitAnew(engine, ordered) ?: return present
    val isWhole = chain.gaps(engine.layerCount).isEmpty()
    val isRoomy = chain.roomTokens(engine) >= ideal.roomTokens(engine) * MIN_ROOM_SHARE
    if (isWhole && isRoomy) return present
    val next = if (chain.isEmpty()) ideal else mended(engine, ordered, ideal)
    return next.map { Placement(it.server.instanceId, it.layers) }
}

private fun mended(
    engine: EngineProfile,
    servers: List<LayoutServer>,
    ideal: List<Link>
): List<Link> =
    splitWithFewLoads(engine, servers, ideal.roomTokens(engine) * MENDED_ROOM_SHARE) ?: ideal

private fun splitAnew(engine: EngineProfile, servers: List<LayoutServer>): List<Link>? {
    val range = LayerRange(0, engine.layerCount)
    val parts = splitByMemory(range, servers.map { it.memoryMb }, engine.layerMb) ?: return null
    return servers.zip(parts).mapNotNull { (server, part) -> part?.let { Link(server, it) } }
}

/** Tokens of requests that the tightest link has room for. */
private fun List<Link>.roomTokens(engine: EngineProfile): Double =
    minOfOrNull { link ->
        val roomMb = link.server.memoryMb - link.layers.size * engine.layerMb
        roomMb / (link.layers.size * engine.tokenLayerMb)
    } ?: 0.0
