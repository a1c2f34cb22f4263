package org.jacinthlink.cli.site

import org.jacinthlink.api.SchedulingPolicy
import org.jacinthlink.api.WorkClass
import org.jacinthlink.standins.EngineSpeed

/**
 * A whole system with stand-ins for everything outside it, on one machine.
 *
 * @property isProxied True to put a fault proxy in front of each daemon.
 * @property crashWord Prompt token or activation that crashes each engine that takes it as input.
 */
data class SitePlan(
    val entries: Int,
    val zones: List<String>,
    val pipelines: List<PipelinePlan>,
    val services: List<ServicePlan>,
    val classes: List<WorkClass>,
    val instanceListLagMs: Long = 0,
    val crashWord: String? = null,
    val isProxied: Boolean = false,
    val policy: SchedulingPolicy = SchedulingPolicy.Targets
)

/**
 * A chain of stages that hold all layers of [model], one backend server for each stage.
 *
 * @property maxRunningStreams Streams in execution at the head; follows from the speed of the
 *   stages if absent.
 */
data class PipelinePlan(
    val model: String,
    val stages: List<StagePlan>,
    val maxRunningStreams: Int? = null
)

/**
 * One stage.
 *
 * @property tokensPerSecond Nominal speed that the sidecar announces.
 */
data class StagePlan(
    val zone: String,
    val firstLayer: Int,
    val endLayer: Int,
    val speed: EngineSpeed,
    val tokensPerSecond: Double
)

/** A plain service with one backend server in each of [zones]. */
data class ServicePlan(val service: String, val zones: List<String>)
