package org.jacinthlink.cli.site

import org.jacinthlink.api.WorkClass
import org.jacinthlink.standins.EngineSpeed

/** Plan of the demo: two pipelines of three unlike stages, an order desk and three classes. */
fun demoPlan(): SitePlan =
    SitePlan(
        entries = 2,
        zones = ZONES,
        pipelines = listOf(fastPipeline(), slowPipeline()),
        services = listOf(ServicePlan("order-desk", ZONES.take(2))),
        classes = standardClasses()
    )

/** Three ranks of work, far apart in target and worth. */
fun standardClasses(): List<WorkClass> =
    listOf(
        WorkClass("quotation", targetMs = 750, worth = 100),
        WorkClass("question", targetMs = 3_000, tokenGapMs = 100, worth = 20),
        WorkClass("summary", targetMs = 60_000, tokenGapMs = 1_000, worth = 2)
    )

private fun fastPipeline() =
    PipelinePlan(
        DEMO_MODEL,
        listOf(
            StagePlan(ZONES[0], 0, 4, EngineSpeed(stepMs = 2.0), 1_600.0),
            StagePlan(ZONES[1], 4, 8, EngineSpeed(stepMs = 3.0), 1_200.0),
            StagePlan(ZONES[2], 8, 12, EngineSpeed(stepMs = 2.0), 1_600.0)
        )
    )

private fun slowPipeline() =
    PipelinePlan(
        DEMO_MODEL,
        listOf(
            StagePlan(ZONES[1], 0, 4, EngineSpeed(stepMs = 6.0), 600.0),
            StagePlan(ZONES[2], 4, 8, EngineSpeed(stepMs = 8.0), 400.0),
            StagePlan(ZONES[0], 8, 12, EngineSpeed(stepMs = 6.0), 600.0)
        )
    )

/** Model of the demo. */
const val DEMO_MODEL = "lamp-12"

private val ZONES = listOf("bayanzurkh", "khan-uul", "songino")
