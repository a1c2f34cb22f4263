package org.jacinthlink.transport

/**
 * Time that input may take in one turn of the event loop: of all peers together, and of each.
 *
 * Load pattern: faulty peers send, without end, bytes that cost much for each byte, as chunks of
 * one byte or empty events, over many connections at once. All requests share the loop's thread.
 */
internal class TurnBudget(private val turnNs: Long, private val shareNs: Long) {
    private val usedNsByPeer = HashMap<InputPeer, Long>()
    private var usedNs = 0L

    /** True if no more input may be taken in this turn. */
    val isUsedUp: Boolean get() = usedNs >= turnNs

    /** True if input of [peer] may be taken in this turn. */
    fun admits(peer: InputPeer): Boolean = !isUsedUp && (usedNsByPeer[peer] ?: 0) < shareNs

    /** Records that input of [peer] has taken [workNs]. */
    fun use(peer: InputPeer, workNs: Long) {
        usedNs += workNs
        usedNsByPeer.merge(peer, workNs, Long::plus)
    }

    /** Starts the next turn. */
    fun startTurn() {
        usedNs = 0
        usedNsByPeer.clear()
    }
}
