package org.jacinthlink.cli.experiment

import kotlinx.serialization.Serializable

/**
 * Result of one run.
 *
 * @property offeredOverBound Offered positions per second over the bound.
 * @property boundPositionsPerSecond Maximum flow of the site, in positions of all stages together.
 * @property boundAfterFaultPositionsPerSecond Maximum flow of the stages that the fault leaves.
 * @property leadSeconds First seconds of the run, which are left out of the figures.
 * @property seconds Measured seconds.
 * @property faultAtSecond Second of the run of the fault, if any.
 * @property policies Figures by name of the policy.
 */
@Serializable
internal data class RunResult(
    val scenario: String,
    val run: String,
    val offeredOverBound: Double,
    val boundPositionsPerSecond: Double,
    val boundAfterFaultPositionsPerSecond: Double?,
    val leadSeconds: Double,
    val seconds: Double,
    val faultAtSecond: Double?,
    val policies: Map<String, PolicyResult>
)
