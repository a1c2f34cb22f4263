package org.jacinthlink.router.layout

/**
 * Decides when a router tries to take a duty that nobody seems to hold.
 *
 * The routers try one after the other in the order of their names, so that a vacancy costs few
 * calls to the store.
 */
internal class LeaderElection(private val ownInstance: String) {
    private var vacantSinceMs: Long? = null
    private var triedAtMs: Long? = null

    /**
     * True if this router is to try now.
     *
     * @param holderIsKnown A live router, this one included, holds the duty.
     * @param others Names of the live routers besides this one.
     */
    fun shouldTry(nowMs: Long, holderIsKnown: Boolean, others: List<String>): Boolean {
        if (holderIsKnown) {
            vacantSinceMs = null
            return false
        }
        val vacantMs = nowMs - (vacantSinceMs ?: nowMs.also { vacantSinceMs = it })
        val rank = others.count { it < ownInstance }
        val sinceTryMs = triedAtMs?.let { nowMs - it } ?: Long.MAX_VALUE
        if (vacantMs < FIRST_TRY_MS + rank * TURN_MS || sinceTryMs < RETRY_MS) return false
        triedAtMs = nowMs
        return true
    }

    private companion object {
        /** Time to hear of a holder after a start. */
        const val FIRST_TRY_MS = 300L
        const val TURN_MS = 200L
        const val RETRY_MS = 500L
    }
}
