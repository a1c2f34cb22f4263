package org.jacinthlink.cli.experiment

import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import org.jacinthlink.cli.load.observeLoad

/** Runs of a scenario on one running site. */
internal class PolicyRuns(private val scenario: Scenario, private val site: ExperimentSite) {
    /** Sends a steady load until the code of the daemons is compiled. */
    fun warmUp() {
        val run = runPlans(scenario.copy(runs = RunNames.ALL)).first()
        observeLoad(loadPlan(scenario, run, site.entryUrls, scenario.timing.warmUpSeconds))
    }

    /** Runs [run]. */
    fun run(run: RunPlan): PolicyResult {
        val timing = scenario.timing
        val plan = loadPlan(scenario, run, site.entryUrls, timing.endSeconds)
        val timer = Executors.newScheduledThreadPool(2)
        try {
            val processors = ProcessorUse()
            val observed =
                observeLoad(plan) {
                    timer.at(timing.leadSeconds) { processors.begin() }
                    timer.at(timing.endSeconds) { processors.end() }
                    run.fault?.let { timer.at(timing.faultAtSeconds) { site.inject(it) } }
                }
            return RunMeasures(scenario, run, plan, observed).result(processors)
        } finally {
            timer.shutdownNow()
        }
    }

    private fun ScheduledExecutorService.at(seconds: Double, task: () -> Unit) {
        schedule(task, (seconds * MICROS_PER_SECOND).toLong(), TimeUnit.MICROSECONDS)
    }

    private companion object {
        const val MICROS_PER_SECOND = 1e6
    }
}
