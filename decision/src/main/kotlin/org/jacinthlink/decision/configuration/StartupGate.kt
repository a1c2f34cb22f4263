package org.jacinthlink.decision.configuration

/**
 * What a starting router knows of the others.
 *
 * @property hasReadHosts True once the router has read from the store where the others run.
 * @property hostCount Number of hosts that may run another router.
 * @property newestVersion Newest version by which a peer serves, or null if none has reported one.
 */
data class KnownPeers(val hasReadHosts: Boolean, val hostCount: Int, val newestVersion: Long?)

/**
 * Decides when a starting router may serve by the configuration that it has read.
 *
 * Load pattern: routers start while the store has just returned from a copy. Its configuration is
 * older than the one by which the others serve, until the operator has written that one again.
 */
class StartupGate {
    private var readAtMs: Long? = null

    /**
     * True if the router may serve at [nowMs]. It waits for its peers from the first call that has
     * an [ownVersion].
     *
     * @param ownVersion Version that the router has read, or null before the first one.
     */
    fun isOpen(nowMs: Long, ownVersion: Long?, peers: KnownPeers): Boolean {
        if (ownVersion == null) return false
        val sinceMs = readAtMs ?: nowMs.also { readAtMs = it }
        val newestVersion = peers.newestVersion
        val isConfirmed = newestVersion != null && newestVersion <= ownVersion
        val isAlone = peers.hasReadHosts && peers.hostCount == 0
        return isConfirmed || isAlone || nowMs - sinceMs >= MAX_WAIT_MS
    }

    private companion object {
        /** A peer answers at once; the network takes a few round trips between zones. */
        const val MAX_WAIT_MS = 300L
    }
}
