package org.jacinthlink.cli.measure

/**
 * Measured cost of one kind of decision.
 *
 * @property size Number of runners or workspaces that the decision works on.
 * @property heapBytes Growth of the heap by the state that the decision needs.
 */
internal data class DecisionCost(
    val decision: String,
    val size: Int,
    val calls: Int,
    val p50Us: Double,
    val p99Us: Double,
    val meanUs: Double,
    val heapBytes: Long
)
