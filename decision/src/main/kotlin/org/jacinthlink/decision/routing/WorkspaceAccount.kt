package org.jacinthlink.decision.routing

import org.jacinthlink.api.WorkspaceId

/** Virtual token counter and queued requests of one workspace in one class. */
internal class WorkspaceAccount(val workspace: WorkspaceId) {
    val waiting = ArrayDeque<QueuedRequest>()
    var counter = 0.0
    var queuedTokens = 0L

    val isActive: Boolean get() = waiting.isNotEmpty()

    fun add(request: QueuedRequest) {
        waiting.addLast(request)
        queuedTokens += request.costTokens
    }

    fun removeFirst(): QueuedRequest = waiting.removeFirst().also { queuedTokens -= it.costTokens }

    fun removeAll(selected: (QueuedRequest) -> Boolean): List<QueuedRequest> {
        val removed = waiting.filter(selected)
        if (removed.isNotEmpty()) waiting.removeAll(selected)
        queuedTokens -= removed.sumOf { it.costTokens.toLong() }
        return removed
    }

    companion object {
        /** Smallest counter first. The name of the workspace makes the order total. */
        val ORDER: Comparator<WorkspaceAccount> =
            compareBy({ it.counter }, { it.workspace.value })
    }
}
