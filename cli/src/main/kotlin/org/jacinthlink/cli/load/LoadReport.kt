package org.jacinthlink.cli.load

import kotlinx.serialization.Serializable

/**
 * Result of a load run.
 *
 * @property maxSendDelayMs Largest time by which a send was late. Late sends count as waiting of
 *   the request, so a large value means that the load tool itself was too slow.
 * @property series Figures for each second of the run by class.
 */
@Serializable
data class LoadReport(
    val plan: LoadPlan,
    val maxSendDelayMs: Double,
    val classes: Map<String, WorkFigures>,
    val workspaces: Map<String, WorkFigures>,
    val series: Map<String, List<SecondFigures>>
)
