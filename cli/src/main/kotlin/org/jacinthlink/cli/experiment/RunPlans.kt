package org.jacinthlink.cli.experiment

/** The runs of [scenario], in the order in which they take place. */
internal fun runPlans(scenario: Scenario): List<RunPlan> =
    with(scenario) {
        listOf(
            RunPlan(RunNames.STEADY, mix(0.2, 0.3, 0.4), bookingsPerSecond = 5.0),
            RunPlan(RunNames.FLOOD_LOW, mix(0.15, 0.15, 2.0)),
            // Below the shares by worth of the other classes, so that they keep all of it.
            RunPlan(RunNames.FLOOD_URGENT, mix(2.0, 0.1, 0.015)),
            RunPlan(RunNames.WITHOUT_LARGE, listOf(Demand(middle, 0.2, smallWorkspaces))),
            RunPlan(
                RunNames.WITH_LARGE,
                listOf(
                    Demand(middle, 0.2, smallWorkspaces),
                    Demand(middle, 1.8, largeWorkspaces)
                )
            ),
            RunPlan(
                RunNames.KILLED_STAGE,
                mix(0.15, 0.2, 0.25),
                fault = Fault.KilledStage(killedStage)
            ),
            RunPlan(
                RunNames.LOST_ZONE,
                mix(0.1, 0.15, 0.15),
                fault = Fault.LostZone(site.zones.last())
            )
        ).filter { it.name in runs }
    }

private fun Scenario.mix(urgentShare: Double, middleShare: Double, lowShare: Double) =
    listOf(urgent to urgentShare, middle to middleShare, low to lowShare)
        .flatMap { (rank, share) ->
            listOf(
                Demand(rank, share * (1 - LARGE_PART), smallWorkspaces),
                Demand(rank, share * LARGE_PART, largeWorkspaces)
            )
        }

// Part of the requests that the large workspaces send.
private const val LARGE_PART = 0.6
