package org.jacinthlink.decision.routing

import java.util.TreeSet
import org.jacinthlink.api.WorkClass
import org.jacinthlink.api.WorkspaceId

/**
 * Queue of one class that is fair between workspaces by virtual token counters (VTC).
 *
 * The workspace with the smallest counter is served next. A workspace that becomes active again
 * starts at the smallest counter of the active workspaces or above, so that idle time earns no
 * credit.
 */
internal class ClassQueue(val name: String, var workClass: WorkClass) {
    private val accounts = HashMap<WorkspaceId, WorkspaceAccount>()
    private val active = TreeSet(WorkspaceAccount.ORDER)

    // Smallest counter of an active workspace at the latest poll. A workspace that becomes active
    // while all others are idle starts here or above.
    private var lastMinCounter = 0.0

    var virtualTime = 0.0
    var size = 0
        private set
    var queuedTokens = 0L
        private set

    val isActive: Boolean get() = size > 0
    val activeWorkspaces: Int get() = active.size
    val activeWorkspaceIds: Set<WorkspaceId> get() = active.map { it.workspace }.toSet()

    fun offer(request: QueuedRequest) {
        val account = accounts.getOrPut(request.workspace) { WorkspaceAccount(request.workspace) }
        if (!account.isActive) activate(account)
        account.add(request)
        size++
        queuedTokens += request.costTokens
    }

    /**
     * Removes and returns the next request of an eligible workspace whose deadline has not passed;
     * null if there is none. Requests past their deadline that come before it are removed too and
     * added to [expired].
     */
    fun poll(
        nowMs: Long,
        expired: MutableList<QueuedRequest>,
        isEligible: (WorkspaceId) -> Boolean
    ): QueuedRequest? {
        while (true) {
            val account = active.firstOrNull { isEligible(it.workspace) } ?: return null
            lastMinCounter = active.first().counter
            val request = account.removeFirst()
            subtractFromTotals(listOf(request))
            if (!account.isActive) active.remove(account)
            if (request.deadlineAtMs >= nowMs) return request
            expired += request
        }
    }

    fun charge(workspace: WorkspaceId, tokens: Double) {
        val account = accounts.getOrPut(workspace) { WorkspaceAccount(workspace) }
        val wasActive = active.remove(account)
        account.counter += tokens
        if (wasActive) active += account
        if (accounts.size > PRUNE_THRESHOLD_ACCOUNTS) pruneIdle()
    }

    fun removeAll(
        workspace: WorkspaceId? = null,
        selected: (QueuedRequest) -> Boolean
    ): List<QueuedRequest> {
        val affected = active.filter { workspace == null || it.workspace == workspace }
        val removed = affected.flatMap { it.removeAll(selected) }
        subtractFromTotals(removed)
        affected.filterNot { it.isActive }.forEach(active::remove)
        return removed
    }

    fun queuedCountOf(workspace: WorkspaceId): Int = accounts[workspace]?.waiting?.size ?: 0

    /** Number of tokens that this class serves before a new request of [workspace]. */
    fun tokensAhead(workspace: WorkspaceId): Double {
        val own = accounts[workspace]
        val ownCounter = maxOf(own?.counter ?: 0.0, startCounter()) + (own?.queuedTokens ?: 0L)
        return active.sumOf { other ->
            if (other.workspace == workspace) {
                other.queuedTokens.toDouble()
            } else {
                (ownCounter - other.counter).coerceIn(0.0, other.queuedTokens.toDouble())
            }
        }
    }

    private fun activate(account: WorkspaceAccount) {
        account.counter = maxOf(account.counter, startCounter())
        active += account
    }

    private fun startCounter(): Double =
        if (active.isEmpty()) lastMinCounter else active.first().counter

    private fun subtractFromTotals(removed: List<QueuedRequest>) {
        size -= removed.size
        queuedTokens -= removed.sumOf { it.costTokens.toLong() }
    }

    // An idle account at or below the start counter can be dropped, because it would be raised to
    // that counter anyway when its workspace becomes active again.
    private fun pruneIdle() {
        val start = startCounter()
        accounts.values.removeIf { !it.isActive && it.counter <= start }
    }

    private companion object {
        const val PRUNE_THRESHOLD_ACCOUNTS = 4_096
    }
}
