package org.jacinthlink.cli.experiment

import kotlin.math.ceil
import org.jacinthlink.api.WorkClass
import org.jacinthlink.cli.site.DEMO_MODEL
import org.jacinthlink.cli.site.PipelinePlan
import org.jacinthlink.cli.site.ServicePlan
import org.jacinthlink.cli.site.SitePlan
import org.jacinthlink.cli.site.StagePlan
import org.jacinthlink.cli.site.demoPlan
import org.jacinthlink.cli.site.standardClasses
import org.jacinthlink.standins.EngineSpeed

/** All scenarios by name. */
internal fun scenarios(): Map<String, Scenario> =
    listOf(smallScenario(), ulaanbaatar(), gangeticBengal()).associateBy { it.name }

/** The demo plan, with stages whose speed is bounded. */
internal fun smallScenario(): Scenario {
    val demo = demoPlan()
    val pipelines =
        demo.pipelines.mapIndexed { index, pipeline ->
            val speeds = if (index == 0) listOf(400, 300, 400) else listOf(200, 150, 200)
            pipeline.copy(
                stages =
                pipeline.stages.mapIndexed { position, stage ->
                    boundedStage(
                        stage.zone,
                        stage.firstLayer,
                        stage.endLayer,
                        speeds[position].toDouble()
                    )
                }
            )
        }
    return Scenario(
        name = "small",
        site = demo.copy(pipelines = pipelines, classes = standardClasses() + BOOKING),
        urgent = Rank("quotation", 8, 16),
        middle = Rank("question", 12, 24),
        low = Rank("summary", 16, 32),
        bookings = PlainWork("order-desk", "bookings", BOOKING.name),
        smallWorkspaces = listOf("shop-1", "shop-2"),
        largeWorkspaces = listOf("shop-9"),
        clientDelayMs = 0.0,
        killedStage = "stage-1-1",
        timing = RunTiming(1.0, 1.0, 3.5, 0.5),
        runs = listOf(RunNames.STEADY, RunNames.KILLED_STAGE)
    )
}

private fun ulaanbaatar(): Scenario {
    val zones = listOf("bayanzurkh", "khan-uul", "songino")
    return Scenario(
        name = "ulaanbaatar",
        site = largeSite(DEMO_MODEL, "order-desk", zones, standardClasses() + BOOKING),
        urgent = Rank("quotation", 8, 6),
        middle = Rank("question", 16, 8),
        low = Rank("summary", 24, 8),
        bookings = PlainWork("order-desk", "bookings", BOOKING.name),
        smallWorkspaces = List(8) { "shop-${it + 1}" },
        largeWorkspaces = listOf("shop-9", "shop-10"),
        clientDelayMs = 3.0,
        killedStage = "stage-0-1"
    )
}

private fun gangeticBengal(): Scenario {
    val zones = listOf("howrah", "bardhaman", "nadia")
    val classes =
        listOf(
            WorkClass("sale-note", targetMs = 750, worth = 100),
            WorkClass("bidder-reply", targetMs = 1_500, worth = 60),
            WorkClass("archive", targetMs = 60_000, tokenGapMs = 1_000, worth = 2),
            BOOKING
        )
    return Scenario(
        name = "gangetic-bengal",
        site = largeSite("lot-60", "ledger", zones, classes),
        urgent = Rank("sale-note", 8, 6),
        middle = Rank("bidder-reply", 16, 8),
        low = Rank("archive", 24, 8),
        bookings = PlainWork("ledger", "bid-confirmations", BOOKING.name),
        smallWorkspaces = List(8) { "hall-${it + 1}" },
        largeWorkspaces = listOf("hall-9", "hall-10"),
        clientDelayMs = 1.0,
        killedStage = "stage-0-1"
    )
}

private fun largeSite(
    model: String,
    service: String,
    zones: List<String>,
    classes: List<WorkClass>
) = SitePlan(
    entries = 3,
    zones = zones,
    pipelines = fortyRunners(model, zones),
    services = listOf(ServicePlan(service, zones)),
    classes = classes
)

// Three pipelines of three stages, four of four and three of five. Equal ranges lie in different
// zones, so that no zone holds all copies of a layer.
private fun fortyRunners(model: String, zones: List<String>): List<PipelinePlan> =
    listOf(3, 4, 5).flatMap { stageCount ->
        val range = LAYERS / stageCount
        List(if (stageCount == 4) 4 else 3) { index ->
            val stages =
                List(stageCount) { position ->
                    boundedStage(
                        zones[(index + position) % zones.size],
                        position * range,
                        (position + 1) * range,
                        SPEEDS[(index * 2 + position * 3 + stageCount) % SPEEDS.size]
                    )
                }
            val running = ceil(stages.first().tokensPerSecond * CYCLE_SECONDS).toInt()
            PipelinePlan(model, stages, running)
        }
    }

// A stage whose throughput is its nominal speed, however many positions a step has. A hop to
// another zone is counted as time of the step.
private fun boundedStage(zone: String, first: Int, end: Int, positionsPerSecond: Double) =
    StagePlan(
        zone,
        first,
        end,
        EngineSpeed(HOP_MS, MICROS_PER_SECOND / positionsPerSecond / (end - first)),
        positionsPerSecond
    )

private val BOOKING = WorkClass("booking", targetMs = 500, worth = 50)

private const val LAYERS = 60
private const val HOP_MS = 0.25
private const val MICROS_PER_SECOND = 1e6

// Positions per second. Stages of 200 to 400, with answers of 16 to 32 tokens, took all cores of a
// shared machine of ten and reached 0.28 of the bound.
private val SPEEDS = listOf(120.0, 190.0, 145.0, 240.0, 170.0)

// Time from one token of a stream to the next on a full head. Shorter cycles need more steps, and
// the processor time of a step is what one machine has too little of for forty runners.
private const val CYCLE_SECONDS = 0.12
