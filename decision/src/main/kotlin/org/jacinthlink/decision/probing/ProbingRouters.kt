package org.jacinthlink.decision.probing

import org.jacinthlink.api.InstanceId
import org.jacinthlink.decision.paths.MIN_PROBED_SERVERS
import org.jacinthlink.decision.routing.RendezvousHash

/** Two of the responsible routers may have failed unnoticed, and one still probes the server. */
internal const val RESPONSIBLE_ROUTERS = 3

/**
 * Servers of a silent path, by address.
 *
 * @property atOnce Servers that this router probes when it detects the silence.
 * @property remaining Servers that it leaves to the other routers at first.
 */
data class ProbeShare(val atOnce: List<String>, val remaining: List<String>)

/**
 * The alive routers, as one of them knows them, which divide the probes of servers among them.
 *
 * @property own This router.
 * @property peers Peers whose gossip has arrived recently.
 */
data class ProbingRouters(val own: InstanceId, val peers: Set<InstanceId>) {
    /** Routers that are responsible for probing the server at [address], the first one first. */
    fun responsible(address: String): List<InstanceId> = ranked(address).take(RESPONSIBLE_ROUTERS)

    /**
     * Divides the [servers] of a silent path. This router probes at once those that it is
     * responsible for. If these are few, it also probes those for which it comes next: a single
     * probe without an answer does not show whether the server or this machine is slow.
     *
     * Load pattern: a server dies under steady load, or a path pauses in a burst, and all routers
     * with streams on the path detect the silence within a few ms of each other. If each of them
     * probed the whole path, the probes would grow with routers times servers.
     */
    fun share(servers: List<String>): ProbeShare {
        val positions = servers.associateWith { ranked(it).indexOf(own) }
        val responsibleCount = positions.values.count { it < RESPONSIBLE_ROUTERS }
        val probed =
            servers.sortedBy { positions.getValue(it) }
                .take(maxOf(responsibleCount, MIN_PROBED_SERVERS))
                .toSet()
        val (atOnce, remaining) = servers.partition { it in probed }
        return ProbeShare(atOnce, remaining)
    }

    private fun ranked(address: String): List<InstanceId> =
        RendezvousHash.rank(address, peers + own)
}
