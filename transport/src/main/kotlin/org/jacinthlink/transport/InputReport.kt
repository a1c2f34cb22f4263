package org.jacinthlink.transport

/** Receives how long the input of a peer has been held back, for logs and metrics. */
fun interface InputObserver {
    /**
     * Called at most once a second for each peer whose input has been held back [heldCount] times.
     * All its input took [workMs] of that second.
     */
    fun onHeld(peer: String, heldCount: Int, workMs: Long)
}

/** Which peers were held back within a second, and what their input has taken of it. */
internal class InputReport {
    private val workNsByPeer = HashMap<InputPeer, Long>()
    private val heldByPeer = HashMap<InputPeer, Int>()
    private var startedAtNs: Long? = null

    /** Records that input of [peer] has taken [workNs]. */
    fun worked(peer: InputPeer, workNs: Long) {
        workNsByPeer.merge(peer, workNs, Long::plus)
    }

    /** Records that input of [peer] is held back. */
    fun held(peer: InputPeer) {
        heldByPeer.merge(peer, 1, Int::plus)
    }

    /** Reports what was recorded to [observer] once a second by [nowNs], and starts anew. */
    fun send(nowNs: Long, observer: InputObserver?) {
        val startNs = startedAtNs ?: nowNs.also { startedAtNs = it }
        if (nowNs - startNs < PERIOD_NS) return
        startedAtNs = nowNs
        heldByPeer.forEach { (peer, count) ->
            observer?.onHeld("$peer", count, (workNsByPeer[peer] ?: 0) / NANOS_PER_MS)
        }
        heldByPeer.clear()
        workNsByPeer.clear()
    }

    private companion object {
        const val PERIOD_NS = 1_000_000_000L
        const val NANOS_PER_MS = 1_000_000L
    }
}
