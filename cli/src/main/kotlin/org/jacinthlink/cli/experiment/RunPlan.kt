package org.jacinthlink.cli.experiment

/**
 * One run of a scenario.
 *
 * @property bookingsPerSecond Plain calls with idempotency keys beside the model work.
 */
internal data class RunPlan(
    val name: String,
    val demands: List<Demand>,
    val bookingsPerSecond: Double = 0.0,
    val fault: Fault? = null
) {
    val offeredOverBound: Double get() = demands.sumOf { it.shareOfBound }
}
