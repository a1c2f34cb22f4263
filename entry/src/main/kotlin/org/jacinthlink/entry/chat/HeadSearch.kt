package org.jacinthlink.entry.chat

import org.jacinthlink.api.InstanceId
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.entry.heads.HeadDirectory

/** Search of one request for heads of [model] that have not failed it. */
internal class HeadSearch(private val heads: HeadDirectory, private val model: String) {
    private val excluded = HashSet<InstanceId>()
    private var roundStartedAtMs = 0L
    private var waitsSinceMs: Long? = null

    /** True since [next] found no head. */
    val isWaiting: Boolean get() = waitsSinceMs != null

    /** Leaves out [head] until each other head has failed as well. */
    fun failed(head: InstanceId, nowMs: Long) {
        if (excluded.isEmpty()) roundStartedAtMs = nowMs
        excluded += head
    }

    /** The head to try next; null if there is none now. */
    fun next(nowMs: Long): FlowStage? {
        val head = choose(nowMs)
        waitsSinceMs = if (head == null) waitsSinceMs ?: nowMs else null
        return head
    }

    /** The head to try beside those of [open], which still serve the request; null if none is. */
    fun nextBeside(open: Set<InstanceId>, nowMs: Long): FlowStage? = choose(nowMs, open)

    /** True if no head has been left for too long. */
    fun isOver(nowMs: Long): Boolean = waitsSinceMs?.let { nowMs - it >= MAX_WAIT_MS } ?: false

    // Once each head has failed, those that failed first may serve again after a pause.
    private fun choose(nowMs: Long, open: Set<InstanceId> = emptySet()): FlowStage? =
        heads.choose(model, excluded + open, nowMs)
            ?: if (nowMs - roundStartedAtMs >= ROUND_MS) {
                excluded.clear()
                heads.choose(model, open, nowMs)
            } else {
                null
            }

    private companion object {
        // Rounds over all heads are at least this far apart, so that heads that are not ready do
        // not use up the attempts of a request within milliseconds.
        const val ROUND_MS = 500L

        // A failed zone leaves the membership within this time, and other heads become known.
        const val MAX_WAIT_MS = 2_000L
    }
}
