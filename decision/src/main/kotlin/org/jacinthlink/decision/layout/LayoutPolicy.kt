package org.jacinthlink.decision.layout

import org.jacinthlink.decision.fleet.EngineProfile
import org.jacinthlink.decision.fleet.LayerRange

/**
 * Layers that each of [servers] should hold.
 *
 * Load patterns: the start of a fleet, and a fleet that loses or gains servers under load. What is
 * loaded stays where it is; only servers near a gap move, until the room for requests in each layer
 * is close to that of the whole group.
 */
fun planLayout(engine: EngineProfile, servers: List<LayoutServer>): List<Placement> {
    val modelMb = engine.layerCount * engine.layerMb
    return zoneGroups(servers, modelMb).flatMapIndexed { i, group ->
        planGroup(engine, group).map { it.copy(group = i) }
    }
}

private fun planGroup(engine: EngineProfile, group: List<LayoutServer>): List<Placement> {
    val holders = group.filter { it.held != null }
    return if (holders.isEmpty()) freshLayout(engine, group) else repairedLayout(engine, group)
}

/** Layout of servers that hold nothing. */
private fun freshLayout(engine: EngineProfile, group: List<LayoutServer>): List<Placement> {
    val ordered = group.sortedWith(compareByDescending<LayoutServer> { it.memoryMb }.thenBy { it.instanceId })
    val parts =
        splitByMemory(
            LayerRange(0, engine.layerCount),
            ordered.map { it.memoryMb },
            engine.layerMb
        ) ?: return emptyList()
    return ordered.zip(parts).mapNotNull { (server, part) ->
        part?.let { Placement(server.instanceId, it) }
    }
}
