package org.jacinthlink.router.layout

/**
 * Decides when a router tries to become the leader while no leader is known.
 *
 * The routers try one after the other in the order of their names, so that few calls to the store
 * are made while there is no leader.
 */
internal class LeaderElection(private val ownInstance: String) {
    private var vacantSinceMs: Long? = null
    private var triedAtMs: Long? = null

    /**
     * True if this router should try now.
     *
     * @param leaderIsKnown True if a live router, this one included, is the leader.
     * @param others Instance names of the other live routers.
     */
    fun shouldTry(nowMs: Long, leaderIsKnown: Boolean, others: List<String>): Boolean {
        if (leaderIsKnown) {
            vacantSinceMs = null
            return false
        }
        val vacantMs = nowMs - (vacantSinceMs ?: nowMs.also { vacantSinceMs = it })
        val rank = others.count { it < ownInstance }
        val sinceTryMs = triedAtMs?.let { nowMs - it } ?: Long.MAX_VALUE
        if (vacantMs < FIRST_TRY_MS + rank * RANK_DELAY_MS || sinceTryMs < RETRY_MS) return false
        triedAtMs = nowMs
        return true
    }

    private companion object {
        /** After a start, the gossip of an existing leader arrives within this time. */
        const val FIRST_TRY_MS = 300L
        const val RANK_DELAY_MS = 200L
        const val RETRY_MS = 500L
    }
}
