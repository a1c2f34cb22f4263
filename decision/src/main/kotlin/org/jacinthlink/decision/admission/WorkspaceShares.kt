package org.jacinthlink.decision.admission

/**
 * Tokens that each workspace has been given while others waited, as virtual counters.
 *
 * Load pattern: a few large workspaces want more than there is, and small ones send a request now
 * and then. The workspace with the lowest counter goes first. One that has sent nothing for a while
 * starts at the lowest counter of the active ones or above: what it has not used went to the
 * others, and idle time earns no credit.
 */
internal class WorkspaceShares {
    private val shares = HashMap<String, WorkspaceShare>()

    /** Highest value so far of the lowest counter of the active workspaces. */
    private var floorTokens = 0L

    /** Share of [workspace]. */
    fun of(workspace: String): WorkspaceShare {
        if (shares.size > MAX_IDLE_SHARES) removeIdle()
        return shares.getOrPut(workspace) { WorkspaceShare(::currentFloorTokens) }
    }

    private fun currentFloorTokens(): Long {
        shares.values.filter { it.isActive }.minOfOrNull { it.startedTokens }
            ?.let { floorTokens = maxOf(floorTokens, it) }
        return floorTokens
    }

    /** An idle workspace at or below the floor would start at the floor again anyway. */
    private fun removeIdle() {
        val floor = currentFloorTokens()
        shares.values.removeIf { !it.isActive && it.startedTokens <= floor }
    }

    private companion object {
        const val MAX_IDLE_SHARES = 4_096
    }
}

/** Virtual counter of one workspace. */
internal class WorkspaceShare(private val floorTokens: () -> Long) {
    private var waitingTokens = 0L
    private var waitingCount = 0
    private var arrivedAtMs: Long? = null

    /** Tokens of the requests that have started, raised after idle times. */
    var startedTokens = 0L
        private set

    /** True while requests of the workspace wait. */
    val isActive: Boolean get() = waitingCount > 0

    /** Records that a request is offered to the queue. */
    fun arrived(nowMs: Long) {
        val lastAtMs = arrivedAtMs
        val isIdle = lastAtMs == null || nowMs - lastAtMs > IDLE_MS
        if (isIdle && !isActive) startedTokens = maxOf(startedTokens, floorTokens())
        arrivedAtMs = nowMs
    }

    /** Records that a request of [tokens] waits. */
    fun activate(tokens: Long) {
        waitingCount++
        waitingTokens += tokens
    }

    /** Records that a request of [tokens] no longer waits. */
    fun deactivate(tokens: Long) {
        waitingCount--
        waitingTokens -= tokens
    }

    /** Records that a request of [tokens] starts. */
    fun charge(tokens: Long) {
        startedTokens += tokens
    }

    /** Counter that a further request of the workspace would start at. */
    val tokensIfQueued: Long get() = startedTokens + waitingTokens

    /**
     * Part of this workspace's waiting requests that start before a request of another one whose
     * counter is [otherTokens], from 0 to 1.
     */
    fun partBefore(otherTokens: Long): Double {
        val before = (otherTokens - startedTokens).coerceIn(0, waitingTokens)
        return before / waitingTokens.coerceAtLeast(1).toDouble()
    }

    private companion object {
        /** A workspace that wants more than its share sends more often. */
        const val IDLE_MS = 2_000L
    }
}
