package org.jacinthlink.decision.probing

import org.jacinthlink.api.InstanceId

/** Time between two probes of a lost server by a responsible router. */
private const val RECHECK_MS = 400L

/** Shortest time between two probes of a lost server by a router that is not responsible. */
private const val OTHER_RECHECK_MS = 3_200L

/**
 * The routers that are not responsible send one probe of a lost server in this time, all together.
 * The responsible ones send 7.5 a second, so the sum is at most 12.5 a second in a fleet of any
 * size; it is 9 a second with 8 routers.
 */
private const val OTHER_SPACING_MS = 200L

/**
 * Time between two probes of the lost server at [address] by this router.
 *
 * Load pattern: ten servers are lost at the peak of a wave, and each of hundreds of routers keeps
 * probing each of them. A router relies on the responsible ones while one of them, alive as far as
 * it knows, reports the server. Without such a report it probes as often as they do, because the
 * server may be back, or only this router may be unable to reach it.
 *
 * @param reporting Peers whose latest gossip says that the server is unresponsive.
 */
fun ProbingRouters.recheckPeriodMs(address: String, reporting: Set<InstanceId>): Long {
    val responsible = responsible(address)
    val isLeftToOthers = own !in responsible && responsible.any { it in reporting && it in peers }
    if (!isLeftToOthers) return RECHECK_MS
    val others = peers.size + 1 - RESPONSIBLE_ROUTERS
    return maxOf(OTHER_RECHECK_MS, others * OTHER_SPACING_MS)
}
