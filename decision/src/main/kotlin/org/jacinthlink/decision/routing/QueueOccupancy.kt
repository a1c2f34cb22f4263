package org.jacinthlink.decision.routing

/**
 * Queued work of a class and of one workspace in it.
 *
 * @property activeWorkspaces Number of workspaces that have queued requests in the class.
 */
data class QueueOccupancy(
    val classRequests: Int,
    val classTokens: Long,
    val workspaceRequests: Int,
    val activeWorkspaces: Int
)
