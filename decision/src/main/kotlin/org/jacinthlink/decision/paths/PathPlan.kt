package org.jacinthlink.decision.paths

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.EngineProfile
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.decision.fleet.ServerState

/**
 * A backend server and the layers that it runs on a path.
 *
 * @property capacityTokens Tokens of requests that fit into the server's memory for these layers.
 */
data class PathPart(val server: BackendServer, val layers: LayerRange, val capacityTokens: Long) {
    /** Capacity for requests in tokens x layers. */
    val capacityTokenLayers: Long get() = capacityTokens * layers.size
}

/**
 * Identity of a path, the same on all routers.
 *
 * @property home Zone that the path belongs to.
 * @property first Address of the server that requests are sent to.
 */
data class PathId(val home: String, val first: String) {
    override fun toString(): String = "$home/$first"
}

/**
 * Backend servers that together run every layer once, in order.
 *
 * @property home Zone that the path belongs to.
 * @property zoneCrossings Number of times that the path passes from one zone to another.
 * @property slots Number of requests that the first server accepts at once.
 */
data class ServingPath(
    val home: String,
    val parts: List<PathPart>,
    val zoneCrossings: Int,
    val slots: Int
) {
    /** The server that requests are sent to. */
    val first: BackendServer get() = parts.first().server

    /** Identity of the path. */
    val id: PathId = PathId(home, first.address)

    /** Tokens of requests that fit into the part with the least capacity. */
    val capacityTokens: Long = parts.minOf { it.capacityTokens }

    private val layersByAddress =
        parts.groupBy { it.server.address }.mapValues { (_, own) -> own.sumOf { it.layers.size } }

    /** True if the server at [address] runs a part of this path. */
    fun passesThrough(address: String): Boolean = address in layersByAddress

    /** Number of layers that the server at [address] runs. */
    fun layersAt(address: String): Int = layersByAddress[address] ?: 0
}

private const val MAX_PARTS = 32

/**
 * Plans the paths of each zone: one for each server of the zone that holds the first layers, or one
 * from a server of another zone if there is none. Where the zone lacks layers, its paths borrow
 * them, which means that they pass through servers of other zones that hold these layers. A path
 * that would lack a layer is left out.
 *
 * @param failed Addresses of servers that are not used.
 * @param slow Addresses of slow servers. The paths of a zone avoid all of them if the zone has a
 *   path without them; otherwise these servers are used like all others.
 */
fun planPaths(
    engine: EngineProfile,
    servers: List<BackendServer>,
    failed: Set<String>,
    slow: Set<String> = emptySet()
): List<ServingPath> {
    val paths = pathsWithout(engine, servers, failed)
    if (paths.none { path -> path.parts.any { it.server.address in slow } }) return paths
    val fast = pathsWithout(engine, servers, failed + slow).groupBy { it.home }
    return paths.groupBy { it.home }.flatMap { (home, own) -> fast[home] ?: own }
}

private fun pathsWithout(
    engine: EngineProfile,
    servers: List<BackendServer>,
    avoided: Set<String>
): List<ServingPath> {
    val usable =
        servers.filter { it.state == ServerState.READY && it.address !in avoided }
            .filter { it.usableLayers != null }
    return usable.map { it.zone }.distinct().sorted().flatMap { pathsOf(engine, usable, it) }
}

private fun pathsOf(
    engine: EngineProfile,
    servers: List<BackendServer>,
    zone: String
): List<ServingPath> {
    val firstHolders = servers.filter { 0 in it.range() }
    val firsts =
        firstHolders.filter { it.zone == zone }.sortedBy { it.address }
            .ifEmpty { listOfNotNull(firstHolders.withHighestEnd()) }
    return firsts.mapNotNull { first ->
        coveringParts(engine, servers, zone, first)?.let { servingPath(engine, zone, it) }
    }
}

private fun coveringParts(
    engine: EngineProfile,
    servers: List<BackendServer>,
    zone: String,
    first: BackendServer
): List<PathPart>? {
    val parts = mutableListOf<PathPart>()
    var nextLayer = 0
    while (nextLayer < engine.layerCount) {
        val next =
            if (nextLayer == 0) {
                first
            } else {
                nextHolder(servers, zone, nextLayer, parts) ?: return null
            }
        val nextHomeLayer = servers.filter { it.zone == zone && it.range().from > nextLayer }
            .minOfOrNull { it.range().from }
        val end = if (next.zone == zone || nextHomeLayer == null) {
            next.range().to
        } else {
            minOf(next.range().to, nextHomeLayer)
        }
        val layers = LayerRange(nextLayer, end)
        parts.add(PathPart(next, layers, capacityTokens(engine, next, layers)))
        nextLayer = end
        if (parts.size > MAX_PARTS) return null
    }
    return parts
}

private fun nextHolder(
    servers: List<BackendServer>,
    zone: String,
    layer: Int,
    parts: List<PathPart>
): BackendServer? {
    val used = parts.map { it.server.address }.toSet()
    val holders = servers.filter { layer in it.range() && it.address !in used }
    return holders.filter { it.zone == zone }.withHighestEnd()
        ?: holders.withHighestEndPreferring(parts.lastOrNull()?.server?.zone)
}

private fun List<BackendServer>.withHighestEnd(): BackendServer? =
    maxWithOrNull(compareBy<BackendServer> { it.range().to }.thenByDescending { it.address })

private fun List<BackendServer>.withHighestEndPreferring(lastZone: String?): BackendServer? =
    filter { it.zone == lastZone }.withHighestEnd() ?: withHighestEnd()

private fun servingPath(
    engine: EngineProfile,
    zone: String,
    parts: List<PathPart>
): ServingPath {
    val zoneCrossings = parts.zipWithNext().count { (a, b) -> a.server.zone != b.server.zone }
    return ServingPath(zone, parts, zoneCrossings, engine.slots)
}

private fun capacityTokens(engine: EngineProfile, server: BackendServer, layers: LayerRange): Long {
    val memoryMb = engine.accelerators[server.accelerator]?.memoryMb ?: 0.0
    val requestMb = memoryMb - server.weightLayers * engine.layerMb
    return (requestMb / (layers.size * engine.tokenLayerMb)).toLong().coerceAtLeast(0)
}

private fun BackendServer.range(): LayerRange = usableLayers ?: EMPTY_RANGE

private val EMPTY_RANGE = LayerRange(0, 0)
