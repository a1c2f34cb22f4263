package org.jacinthlink.cli.experiment

import org.jacinthlink.cli.load.LoadPlan
import org.jacinthlink.cli.load.LoadStream

/** Load plan of [run] until [endSeconds]. Requests whose entry is down go to the next one. */
internal fun loadPlan(
    scenario: Scenario,
    run: RunPlan,
    entryUrls: List<String>,
    endSeconds: Double
): LoadPlan {
    val bound = boundPositionsPerSecond(scenario.site)
    val targetsMs = scenario.site.classes.associate { it.name to it.targetMs }
    return LoadPlan(
        entries = entryUrls,
        targetsMs = targetsMs,
        streams =
        (
            run.demands.flatMap { streams(scenario, it, bound, endSeconds) } +
                bookings(scenario, run, endSeconds)
            ).map { it.copy(callTimeoutMs = targetsMs.getValue(it.workClass) + ANSWER_MS) },
        retriesRefused = true,
        hangUpAtSecond = endSeconds + SETTLE_SECONDS
    )
}

private fun streams(
    scenario: Scenario,
    demand: Demand,
    bound: Double,
    endSeconds: Double
): List<LoadStream> {
    val ratePerSecond = demand.shareOfBound * bound / demand.rank.positions
    return demand.workspaces.map { workspace ->
        LoadStream(
            name = "$workspace-${demand.rank.workClass}",
            workspace = workspace,
            workClass = demand.rank.workClass,
            ratePerSecond = ratePerSecond / demand.workspaces.size,
            stopSecond = endSeconds,
            model = scenario.model,
            promptTokens = demand.rank.promptTokens,
            maxTokens = demand.rank.maxTokens,
            verifyLayerCount =
            scenario.site.pipelines.flatMap { it.stages }.maxOf { it.endLayer }
        )
    }
}

private fun bookings(scenario: Scenario, run: RunPlan, endSeconds: Double): List<LoadStream> {
    if (run.bookingsPerSecond == 0.0) return emptyList()
    val work = scenario.bookings
    return listOf(
        LoadStream(
            name = work.path,
            workspace = scenario.workspaces.first(),
            workClass = work.workClass,
            ratePerSecond = run.bookingsPerSecond,
            stopSecond = endSeconds,
            service = work.service,
            path = work.path
        )
    )
}

// A caller whose answer is this late hangs up. Whole answers take up to 7 s on a full fleet.
private const val ANSWER_MS = 8_000L

// Whole answers within the targets of the urgent and the middle class end in this time. Waiting for
// all of a flood of the least urgent class would make a scenario longer by a minute.
private const val SETTLE_SECONDS = 8.0
