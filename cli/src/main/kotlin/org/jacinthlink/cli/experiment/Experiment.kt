package org.jacinthlink.cli.experiment

import org.jacinthlink.api.SchedulingPolicy
import org.jacinthlink.cli.site.Launcher

/** Policies by name, the system's own first. */
internal val POLICIES: Map<String, SchedulingPolicy> =
    mapOf(
        "targets" to SchedulingPolicy.Targets,
        "round-robin" to SchedulingPolicy.RoundRobin,
        "least-in-flight" to SchedulingPolicy.LeastInFlight
    )

/**
 * Runs all runs of [scenario] under each of [policies], each on a site of its own.
 *
 * @param launcher Starts the daemons of the policy with the given name.
 * @param onProgress Called with a line on each step.
 * @param onResult Called with all results so far after each run.
 */
internal fun runExperiment(
    scenario: Scenario,
    policies: Set<String>,
    launcher: (String) -> Launcher,
    onProgress: (String) -> Unit = {},
    onResult: (List<RunResult>) -> Unit = {}
): List<RunResult> {
    val results = LinkedHashMap<String, RunResult>()
    policies.forEach { name ->
        val planned =
            scenario.copy(site = scenario.site.copy(policy = POLICIES.getValue(name)))
        ExperimentSite(planned, launcher(name)).use { site ->
            runAll(planned, site, { onProgress("$name: $it") }) { run, policyResult ->
                val result = results[run.name] ?: emptyResult(scenario, run)
                results[run.name] =
                    result.copy(policies = result.policies + (name to policyResult))
                onResult(results.values.toList())
            }
        }
    }
    return results.values.toList()
}

private fun runAll(
    scenario: Scenario,
    site: ExperimentSite,
    onProgress: (String) -> Unit,
    onResult: (RunPlan, PolicyResult) -> Unit
) {
    val runs = runPlans(scenario)
    val policyRuns = PolicyRuns(scenario, site)
    onProgress("starting")
    site.start()
    onProgress("warming up")
    policyRuns.warmUp()
    runs.forEach { run ->
        onProgress(run.name)
        onResult(run, policyRuns.run(run))
        if (run != runs.last()) run.fault?.let(site::repair)
    }
}

private fun emptyResult(scenario: Scenario, run: RunPlan) =
    RunResult(
        scenario = scenario.name,
        run = run.name,
        offeredOverBound = run.offeredOverBound,
        boundPositionsPerSecond = boundPositionsPerSecond(scenario.site),
        boundAfterFaultPositionsPerSecond =
        run.fault?.let { boundPositionsPerSecond(scenario.site, it) },
        leadSeconds = scenario.timing.leadSeconds,
        seconds = scenario.timing.seconds,
        faultAtSecond = run.fault?.let { scenario.timing.faultAtSeconds },
        policies = emptyMap()
    )
