package org.jacinthlink.decision.layout

import org.jacinthlink.decision.fleet.EngineProfile
import org.jacinthlink.decision.fleet.LayerRange

/** Room for requests in a repaired window, as a share of the room in the whole group. */
private const val MIN_ROOM_SHARE = 0.85

/** Closes gaps of a group whose servers hold layers, and takes in servers that hold none. */
internal fun repairedLayout(
    engine: EngineProfile,
    group: List<LayoutServer>
): List<Placement> {
    var chain = group.mapNotNull { server -> server.held?.let { Link(server, it) } }
        .sortedWith(compareBy({ it.layers.from }, { it.layers.to }, { it.server.instanceId }))
        .withoutOverlaps()
    val empty = group.filter { it.held == null }.sortedBy { it.instanceId }
    for (server in empty) chain = chain.withNewcomer(server, engine)
    while (true) {
        val gap = chain.firstGap(engine.layerCount) ?: break
        chain = chain.closed(gap, engine) ?: break
    }
    return chain.mapNotNull { link ->
        link.layers.takeIf { it.size > 0 }?.let { Placement(link.server.instanceId, it) }
    }
}

private data class Link(val server: LayoutServer, val layers: LayerRange)

/** A stretch of layers that no link holds; [index] is the position in the chain of a new link. */
private data class Gap(val index: Int, val layers: LayerRange)

/** Lets each layer belong to the first link that holds it. */
private fun List<Link>.withoutOverlaps(): List<Link> {
    var covered = 0
    return mapNotNull { link ->
        val from = maxOf(link.layers.from, covered)
        covered = maxOf(covered, link.layers.to)
        link.copy(layers = LayerRange(from, link.layers.to)).takeIf { it.layers.size > 0 }
    }
}

private fun List<Link>.firstGap(layerCount: Int): Gap? {
    var covered = 0
    forEachIndexed { i, link ->
        if (link.layers.from > covered) return Gap(i, LayerRange(covered, link.layers.from))
        covered = maxOf(covered, link.layers.to)
    }
    return if (covered < layerCount) Gap(size, LayerRange(covered, layerCount)) else null
}

/** Puts [server] where a gap is, or else where a layer has the least room for requests. */
private fun List<Link>.withNewcomer(server: LayoutServer, engine: EngineProfile): List<Link> {
    val gap = firstGap(engine.layerCount)
    if (gap != null) {
        val most = (server.memoryMb * MAX_NEWCOMER_SHARE / engine.layerMb).toInt()
        val layers = LayerRange(gap.layers.from, minOf(gap.layers.to, gap.layers.from + most))
        return take(gap.index) + Link(server, layers) + drop(gap.index)
    }
    val tightest = indices.minBy { this[it].roomMb(engine) / this[it].layers.size }
    val at = LayerRange(this[tightest].layers.to, this[tightest].layers.to)
    val joined = take(tightest + 1) + Link(server, at) + drop(tightest + 1)
    return joined.resplit(tightest, tightest + 1, engine) ?: this
}

/** Share of a newcomer's memory for weights; the rest holds requests. */
private const val MAX_NEWCOMER_SHARE = 0.7

/** Splits [gap] and the links around it anew, over as few links as keep enough room. */
private fun List<Link>.closed(gap: Gap, engine: EngineProfile): List<Link>? {
    val wantedRoomMb = roomPerLayerMb(engine) * MIN_ROOM_SHARE
    var first = (gap.index - 1).coerceAtLeast(0)
    var last = gap.index.coerceAtMost(lastIndex)
    while (true) {
        val layers = span(first, last, gap)
        val memoryMb = subList(first, last + 1).sumOf { it.server.memoryMb }
        val roomMb = memoryMb / layers.size - engine.layerMb
        val isWhole = first == 0 && last == lastIndex
        if (roomMb >= wantedRoomMb || isWhole) return resplit(first, last, engine, gap)
        first = (first - 1).coerceAtLeast(0)
        last = (last + 1).coerceAtMost(lastIndex)
    }
}

private fun List<Link>.resplit(
    first: Int,
    last: Int,
    engine: EngineProfile,
    gap: Gap? = null
): List<Link>? {
    val window = subList(first, last + 1)
    val parts =
        splitByMemory(
            span(first, last, gap),
            window.map { it.server.memoryMb },
            engine.layerMb
        ) ?: return null
    val changed = window.zip(parts).mapNotNull { (link, part) ->
        part?.let { link.copy(layers = it) }
    }
    return take(first) + changed + drop(last + 1)
}

private fun List<Link>.span(first: Int, last: Int, gap: Gap?): LayerRange {
    val window = subList(first, last + 1)
    val from = minOf(window.minOf { it.layers.from }, gap?.layers?.from ?: Int.MAX_VALUE)
    val to = maxOf(window.maxOf { it.layers.to }, gap?.layers?.to ?: 0)
    return LayerRange(from, to)
}

/** Room for requests in each layer if memory were spread evenly. */
private fun List<Link>.roomPerLayerMb(engine: EngineProfile): Double =
    sumOf { it.server.memoryMb } / engine.layerCount - engine.layerMb

private fun Link.roomMb(engine: EngineProfile): Double =
    server.memoryMb - layers.size * engine.layerMb
