package org.jacinthlink.cli.experiment

import org.jacinthlink.cli.site.SitePlan

/**
 * A site with its callers.
 *
 * @property urgent Most urgent rank of model work.
 * @property low Least urgent rank of model work.
 * @property bookings Class and path of the non-idempotent plain calls, as `bookings`.
 * @property clientDelayMs Delay between callers and entries, in each direction.
 * @property killedStage Name of the stage that the run `killed-stage` kills; what is left carries
 *   the load of that run.
 * @property runs Names of the runs that belong to the scenario.
 */
internal data class Scenario(
    val name: String,
    val site: SitePlan,
    val urgent: Rank,
    val middle: Rank,
    val low: Rank,
    val bookings: PlainWork,
    val smallWorkspaces: List<String>,
    val largeWorkspaces: List<String>,
    val clientDelayMs: Double,
    val killedStage: String,
    val timing: RunTiming = RunTiming(),
    val runs: List<String> = RunNames.ALL
) {
    val model: String get() = site.pipelines.first().model
    val workspaces: List<String> get() = smallWorkspaces + largeWorkspaces
}

/** Plain calls of a scenario. */
internal data class PlainWork(val service: String, val path: String, val workClass: String)
