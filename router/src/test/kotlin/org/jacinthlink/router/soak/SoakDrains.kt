package org.jacinthlink.router.soak

import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readLines
import kotlin.random.Random
import org.jacinthlink.router.standins.EngineStandIn.Script

/**
 * Plans rounds in which some engines drain while all others reject requests or stand still, beside
 * new configurations and a planned stop of a router. No router or server fails.
 */
internal fun planDrains(seed: Int, site: SoakSite, lengthMs: Long): List<PlannedFault> {
    val random = Random(seed)
    return generateSequence(0L) { it + ROUND_MS }
        .takeWhile { it < lengthMs }
        .flatMap { planRound(random, site, it) }
        .sortedBy { it.atMs }
        .toList()
}

private fun planRound(random: Random, site: SoakSite, beginsAtMs: Long): List<PlannedFault> {
    val engines = site.engines.map { it.instanceId }.shuffled(random)
    val leaving = engines.take(1 + random.nextInt(MAX_LEAVING))
    val isRejecting = random.nextBoolean()
    val faults = leaving.map { SoakFault.ServerLeaves(it) to DRAIN_MS } +
        (engines - leaving.toSet()).map { server ->
            val fault =
                if (isRejecting) {
                    SoakFault.ServerScripted(server, Script.Rejecting)
                } else {
                    SoakFault.ServerSilent(server)
                }
            fault to random.nextLong(MIN_TROUBLE_MS, MAX_TROUBLE_MS)
        } +
        List(CHANGES) { SoakFault.ConfigurationWritten to 0L } +
        (SoakFault.RouterStopped(random.nextInt(1, site.routers.size)) to 0L)
    return faults.map { (fault, durationMs) ->
        val startMs = beginsAtMs + random.nextLong(MAX_START_MS)
        PlannedFault(fault, startMs, durationMs)
    }
}

/**
 * Describes each stream that was cut, and each other request that a router has read and that got no
 * whole response. One that crosses the close of a router is not read.
 */
internal fun lostRequests(results: List<CallResult>, logs: List<Path>): List<String> {
    val lines = logs.filter { it.exists() }.flatMap { it.readLines() }
    return results.filter { it.status == null || !it.isWhole }.mapNotNull { result ->
        val own = lines.filter { " request=${result.id} " in it }
        "lost: $result, $own".takeIf { result.status != null || own.isNotEmpty() }
    }
}

/** Time from the start of one round to that of the next, in which routers start again. */
private const val ROUND_MS = 4_500L
private const val MAX_LEAVING = 3

/** Time for which a draining engine goes on serving before it leaves. */
private const val DRAIN_MS = 2_500L
private const val MIN_TROUBLE_MS = 500L
private const val MAX_TROUBLE_MS = 1_400L
private const val MAX_START_MS = 500L
private const val CHANGES = 4
