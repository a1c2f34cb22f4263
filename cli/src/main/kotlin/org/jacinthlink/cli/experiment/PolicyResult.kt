package org.jacinthlink.cli.experiment

import kotlinx.serialization.Serializable
import org.jacinthlink.cli.load.Percentiles
import org.jacinthlink.cli.load.WorkFigures

/**
 * Figures of one run under one policy. Requests of the first seconds of the run are left out.
 *
 * @property throughputOverBound Positions per second of the measured seconds over the bound.
 * @property classes Figures by class.
 * @property kept Answers within the target of each class over the part of its requests that its
 *   share by worth covers, at most 1.
 * @property smallCallersMs Time to the first token of the small workspaces.
 * @property recoveryMs Time from the fault until urgent requests meet their target again for two
 *   seconds; null if they do not, or without a fault.
 * @property maxUrgentGapMs Longest time between two tokens of an urgent stream after the fault; 0
 *   without a fault.
 * @property machineCpuShare Use of all processors of the machine in the measured seconds, by this
 *   and other programs.
 * @property ownCores Processors in use by the command and its daemons in the measured seconds.
 * @property maxSendDelayMs Largest time by which a send was late; counts as waiting of the request.
 */
@Serializable
internal data class PolicyResult(
    val throughputOverBound: Double,
    val classes: Map<String, WorkFigures>,
    val kept: Map<String, Double>,
    val smallCallersMs: Percentiles,
    val recoveryMs: Long?,
    val maxUrgentGapMs: Double,
    val machineCpuShare: Double,
    val ownCores: Double,
    val maxSendDelayMs: Double,
    val throughputSeries: List<Double>,
    val classSeries: Map<String, List<ClassSecond>>
)

/** Requests of a class that were scheduled in one second of a run. */
@Serializable
internal data class ClassSecond(
    val second: Int,
    val sent: Int,
    val withinTarget: Int,
    val timeToFirstTokenP95Ms: Double
)
