package org.jacinthlink.cli.experiment

import kotlin.math.ceil
import org.jacinthlink.cli.site.PipelinePlan
import org.jacinthlink.cli.site.SitePlan
import org.jacinthlink.cli.site.StagePlan

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

    /** This scenario with stages that are [factor] times as fast, and as much more load. */
    fun atSpeed(factor: Double): Scenario =
        copy(site = site.copy(pipelines = site.pipelines.map { it.atSpeed(factor) }))
}

/** Plain calls of a scenario. */
internal data class PlainWork(val service: String, val path: String, val workClass: String)

private fun PipelinePlan.atSpeed(factor: Double) =
    copy(
        stages = stages.map { it.atSpeed(factor) },
        maxRunningStreams = maxRunningStreams?.let { ceil(it * factor).toInt() }
    )

private fun StagePlan.atSpeed(factor: Double) =
    copy(
        speed =
        speed.copy(positionLayerMicros = speed.positionLayerMicros / factor),
        tokensPerSecond = tokensPerSecond * factor
    )
