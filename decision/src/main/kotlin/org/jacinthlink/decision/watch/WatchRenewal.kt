package org.jacinthlink.decision.watch

/**
 * What a router knows of a peer that watches the same store.
 *
 * @property storeAgeMs Time since the store last answered the peer, or null if it never did.
 */
data class WatchingPeer(val instance: String, val storeAgeMs: Long?, val isDraining: Boolean)

/**
 * A call to the store that waits for changes.
 *
 * @property position Position of the store up to which the changes are known.
 * @property sentAtMs When the call was sent.
 * @property limitMs Longest time that the call may take at present.
 */
data class PendingWatch(val position: StorePosition, val sentAtMs: Long, val limitMs: Long)

/** Why a watch is not to be waited for any longer. */
enum class RenewalCause {
    /** The store should have answered by now, also if nothing has changed. */
    OVERDUE,

    /** A peer has received a later change, which the watch should have reported as well. */
    PEER_AHEAD
}

/**
 * True if the router [instance] should renew its watches often, instead of waiting for changes as
 * long as possible.
 *
 * Load pattern: connections to the store fall silent without a reset, and a watch on them looks
 * like one without changes. A few routers find that out soon by short watches, and tell the others
 * of the changes. If all routers did so, most calls to the store of a large fleet would be
 * renewals.
 *
 * @param freshMs Age of the last answer of the store up to which a peer counts as able to read it.
 */
fun renewsOften(instance: String, peers: List<WatchingPeer>, freshMs: Long): Boolean =
    peers.count {
        it.instance < instance &&
            !it.isDraining &&
            it.storeAgeMs != null &&
            it.storeAgeMs <= freshMs
    } < FREQUENT_ROUTERS

/**
 * Decides when a pending watch is renewed on a new connection.
 *
 * Load pattern: the connection of the watch has fallen silent, while peers receive changes or the
 * store returns from a copy. A peer that has not noticed such a return yet is never ahead. Or the
 * answer is on its way, and a small router takes long to read it; then each renewal without an
 * answer makes the next one wait for longer.
 */
class WatchRenewal {
    private val patience = growingPatience(PEER_LEAD_MS, MAX_PEER_LEAD_MS)

    /** Since when a peer is ahead of the pending watch, or null if none is. */
    private var aheadSinceMs: Long? = null

    /** Latest position of a peer for which a watch has been renewed. */
    private var renewedPosition = StorePosition.START

    /**
     * Why [watch] should be renewed at [nowMs], or null if it may wait.
     *
     * @param newestPeerPosition Position of the newest change that a peer has received.
     */
    fun cause(
        watch: PendingWatch,
        newestPeerPosition: StorePosition,
        nowMs: Long
    ): RenewalCause? {
        val isBehind = newestPeerPosition > maxOf(watch.position, renewedPosition)
        val sinceMs = if (isBehind) aheadSinceMs ?: nowMs else null
        aheadSinceMs = sinceMs
        return when {
            nowMs - watch.sentAtMs > watch.limitMs -> RenewalCause.OVERDUE
            sinceMs != null && nowMs - maxOf(sinceMs, watch.sentAtMs) > patience.limitMs -> {
                renewedPosition = newestPeerPosition
                aheadSinceMs = null
                patience.givenUp()
                RenewalCause.PEER_AHEAD
            }
            else -> null
        }
    }

    /** Records that the store has answered a watch. */
    fun answered() = patience.answered()
}

/** One of them may be cut off from the store while the others are not. */
private const val FREQUENT_ROUTERS = 2

/** The watches of two routers report a change within this time of one another. */
private const val PEER_LEAD_MS = 800L
private const val MAX_PEER_LEAD_MS = 6_400L
