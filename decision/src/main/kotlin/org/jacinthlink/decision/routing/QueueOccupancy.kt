package org.jacinthlink.decision.routing

/** Waiting work of a class, and of one workspace in it. */
data class QueueOccupancy(
    val classRequests: Int,
    val classTokens: Long,
    val workspaceRequests: Int,
    val activeWorkspaces: Int
)
