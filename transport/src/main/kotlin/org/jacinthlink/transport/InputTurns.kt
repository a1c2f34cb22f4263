package org.jacinthlink.transport

/** Bytes that have been received, and that wait until they may be handled. */
internal interface HeldInput {
    /** Whom the bytes come from. */
    val peer: InputPeer

    /** Handles the bytes. */
    fun handle()
}

/**
 * Shares the time of an event loop among the peers whose bytes it handles. All connections of the
 * loop use it, whatever they receive; datagrams, which are bounded by their number, do not.
 *
 * A turn of the loop first reads the sockets, each at most once, and then runs its tasks. Bytes
 * that are read are handled at once while their peer and the turn have time left. The others are
 * held, and their socket is not read meanwhile. They are handled after the sockets are read, peer
 * by peer in rotation, while the second budget of the turn lasts; the rest waits for the next
 * turns. So neither a timer nor the bytes of another peer wait for all that one peer has sent.
 *
 * It must be used on the event loop only.
 *
 * @param clockNs Monotonic clock, by which the work on each input is measured.
 * @param afterReads Runs an action in this turn, after the sockets are read.
 * @param nextTurn Runs an action in the next turn, after the sockets are read.
 */
internal class InputTurns(
    private val clockNs: () -> Long,
    private val afterReads: (Runnable) -> Unit,
    private val nextTurn: (Runnable) -> Unit
) {
    private val direct = TurnBudget(DIRECT_NS, SHARE_NS)
    private val delayed = TurnBudget(DELAYED_NS, SHARE_NS)
    private val waiting = LinkedHashMap<InputPeer, ArrayDeque<HeldInput>>()
    private val report = InputReport()
    private val turnEnd = Runnable { endTurn() }
    private var isEndPending = false

    /** Number of sockets whose bytes are held. */
    var heldCount = 0
        private set

    /** Receives the peers whose input is held back, or null. */
    var observer: InputObserver? = null

    /** True if bytes of [peer] that have just been read may be handled at once. */
    fun admits(peer: InputPeer): Boolean {
        requestEnd()
        return peer !in waiting && direct.admits(peer)
    }

    /** Runs [action], which handles bytes of [peer] that were admitted, and measures it. */
    fun handle(peer: InputPeer, action: () -> Unit) {
        direct.use(peer, measured(peer, action))
    }

    /** Keeps [input] until it is handled. */
    fun hold(input: HeldInput) {
        heldCount++
        report.held(input.peer)
        waiting.getOrPut(input.peer) { ArrayDeque() }.addLast(input)
    }

    /** Forgets [input], whose socket has been closed. */
    fun remove(input: HeldInput) {
        val inputs = waiting[input.peer] ?: return
        if (!inputs.remove(input)) return
        heldCount--
        if (inputs.isEmpty()) waiting.remove(input.peer)
    }

    private fun requestEnd() {
        if (isEndPending) return
        isEndPending = true
        afterReads(turnEnd)
    }

    private fun endTurn() {
        try {
            while (waiting.isNotEmpty() && !delayed.isUsedUp) handleNextPeer()
        } finally {
            direct.startTurn()
            delayed.startTurn()
            isEndPending = waiting.isNotEmpty()
            if (isEndPending) nextTurn(turnEnd)
        }
        report.send(clockNs(), observer)
    }

    /** Handles input of the first peer until its share is used, and puts it behind the others. */
    private fun handleNextPeer() {
        val peer = waiting.keys.first()
        var usedNs = 0L
        while (usedNs < SHARE_NS && !delayed.isUsedUp) {
            val next = waiting[peer]?.first() ?: return
            remove(next)
            val workNs = measured(peer, next::handle)
            delayed.use(peer, workNs)
            usedNs += workNs
        }
        waiting.remove(peer)?.let { waiting[peer] = it }
    }

    private fun measured(peer: InputPeer, action: () -> Unit): Long {
        val startedAtNs = clockNs()
        action()
        val workNs = clockNs() - startedAtNs
        report.worked(peer, workNs)
        return workNs
    }

    private companion object {
        /** Time for bytes that have just been read, in one turn. */
        const val DIRECT_NS = 5_000_000L

        /** Time for bytes that are held, in one turn. */
        const val DELAYED_NS = 5_000_000L

        /** Time of one peer before the others have theirs. */
        const val SHARE_NS = 1_000_000L
    }
}
