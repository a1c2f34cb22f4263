package org.jacinthlink.decision.routing

import org.jacinthlink.api.WorkspaceId

/**
 * Number of running requests by class and workspace.
 *
 * Not thread-safe.
 */
class RunningCounts {
    private val counts = HashMap<String, HashMap<WorkspaceId, Int>>()

    /** Classes with running requests. */
    val classes: Set<String> get() = counts.keys

    /** Records the start of [request]. */
    fun started(request: QueuedRequest) {
        counts.getOrPut(request.workClass) { HashMap() }.merge(request.workspace, 1, Int::plus)
    }

    /** Records the end of [request]. */
    fun ended(request: QueuedRequest) {
        val ofClass = counts[request.workClass] ?: return
        val left = (ofClass[request.workspace] ?: 0) - 1
        if (left > 0) ofClass[request.workspace] = left else ofClass -= request.workspace
        if (ofClass.isEmpty()) counts -= request.workClass
    }

    /** Number of running requests of [workClass]. */
    fun of(workClass: String): Int = counts[workClass]?.values?.sum() ?: 0

    /** Number of running requests of [workspace] in [workClass]. */
    fun of(workClass: String, workspace: WorkspaceId): Int = counts[workClass]?.get(workspace) ?: 0

    /** Workspaces with running requests of [workClass]. */
    fun workspaces(workClass: String): Set<WorkspaceId> = counts[workClass]?.keys.orEmpty()
}
