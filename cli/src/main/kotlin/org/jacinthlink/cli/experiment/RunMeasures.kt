package org.jacinthlink.cli.experiment

import org.jacinthlink.cli.load.FinishedRequest
import org.jacinthlink.cli.load.LoadObservation
import org.jacinthlink.cli.load.LoadPlan
import org.jacinthlink.cli.load.figures
import org.jacinthlink.cli.load.isGood
import org.jacinthlink.cli.load.percentiles

/** Computes the figures of one run from what the load tool saw. */
internal class RunMeasures(
    private val scenario: Scenario,
    private val run: RunPlan,
    private val plan: LoadPlan,
    private val observed: LoadObservation
) {
    private val timing = scenario.timing
    private val leadUs = micros(timing.leadSeconds)
    private val faultUs = micros(timing.faultAtSeconds)
    private val measured = observed.finished.filter { it.request.sendAtUs >= leadUs }
    private val byClass = measured.groupBy { it.request.stream.workClass }
    private val urgent = byClass[scenario.urgent.workClass].orEmpty()

    fun result(processors: ProcessorUse) =
        PolicyResult(
            throughputOverBound = throughputOverBound(),
            classes = byClass.mapValues { figures(plan, it.value) },
            kept = kept(),
            smallCallersMs = percentiles(smallCallers().map { it.firstTokenUs }),
            recoveryMs = run.fault?.let { recoveryUs(urgent, faultUs, ::isMet)?.div(1_000) },
            maxUrgentGapMs = if (run.fault == null) 0.0 else maxGapUs(faultUs) / 1_000.0,
            machineCpuShare = processors.machineShare,
            ownCores = processors.ownCores,
            maxSendDelayMs = observed.maxSendDelayUs / 1_000.0,
            throughputSeries =
            List(timing.endSeconds.toInt()) { positions(it * SECOND_US, (it + 1) * SECOND_US) },
            classSeries =
            observed.finished.groupBy { it.request.stream.workClass }.mapValues { series(it.value) }
        )

    private fun isMet(finished: FinishedRequest) = isGood(plan, finished)

    private fun smallCallers() =
        measured.filter {
            it.isAnswered &&
                it.request.stream.model != null &&
                it.request.stream.workspace in scenario.smallWorkspaces
        }

    private fun throughputOverBound() =
        positions(leadUs, micros(timing.endSeconds)) / timing.seconds /
            boundPositionsPerSecond(scenario.site)

    // The first token stands for the positions of the prompt, each further one for one position.
    private fun positions(fromUs: Long, untilUs: Long): Double =
        observed.finished.sumOf { finished ->
            val promptPositions = finished.request.stream.promptTokens + 1
            finished.tokenTimesUs.withIndex().sumOf { (index, timeUs) ->
                when {
                    timeUs !in fromUs until untilUs -> 0
                    index == 0 -> promptPositions
                    else -> 1
                }
            }
        }.toDouble()

    private fun kept(): Map<String, Double> {
        val demands = run.demands.groupBy { it.rank.workClass }
        val worths =
            scenario.site.classes.filter { it.name in demands }.associate { it.name to it.worth }
        return demands.filterKeys { it in byClass }.mapValues { (name, demand) ->
            val offered = demand.sumOf { it.shareOfBound }
            val share = worths.getValue(name).toDouble() / worths.values.sum()
            val finished = byClass.getValue(name)
            val due = finished.size * minOf(1.0, share / offered)
            minOf(1.0, finished.count(::isMet) / due)
        }
    }

    private fun maxGapUs(sinceUs: Long): Long =
        observed.finished
            .filter { it.request.stream.workClass == scenario.urgent.workClass }
            .flatMap { it.tokenTimesUs.zipWithNext() }
            .filter { it.second >= sinceUs }
            .maxOfOrNull { it.second - it.first } ?: 0

    private fun series(finished: List<FinishedRequest>): List<ClassSecond> =
        finished.groupBy {
            (it.request.sendAtUs / SECOND_US).toInt()
        }.toSortedMap().map { (second, sent) ->
            val answeredUs = sent.filter { it.isAnswered }.map { it.firstTokenUs }
            ClassSecond(second, sent.size, sent.count(::isMet), percentiles(answeredUs).p95)
        }
}

private fun micros(seconds: Double) = (seconds * SECOND_US).toLong()

private const val SECOND_US = 1_000_000L
