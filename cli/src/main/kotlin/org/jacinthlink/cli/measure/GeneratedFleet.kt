package org.jacinthlink.cli.measure

import kotlin.random.Random
import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.LoadReport
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.HeadCandidate

/** Fleets on which the cost of decisions is measured. The same seed gives the same fleet. */
object GeneratedFleet {
    /** Model that the stages hold. */
    const val MODEL = "model"

    /** Time at which the load reports of the heads arrived. */
    const val NOW_MS = 1_000_000L

    private const val ZONES = 8
    private const val RANGES = 4
    private const val LAYERS_PER_RANGE = 20
    private const val ACCELERATOR_KINDS = 7

    /** Heads of random speeds and waits. */
    fun heads(size: Int, random: Random): List<HeadCandidate> =
        List(size) {
            HeadCandidate(
                InstanceId("head-$it"),
                "zone-${it % ZONES}",
                tokensPerSecond = random.nextDouble(100.0, 10_000.0),
                report = LoadReport(expectedWaitMs = random.nextDouble(0.0, 500.0)),
                reportedAtMs = NOW_MS
            )
        }

    /** Runners of seven speeds over four layer ranges, as at the target size. */
    fun stages(size: Int, seed: Int): List<FlowStage> {
        val random = Random(seed)
        return List(size) {
            val range = it % RANGES
            FlowStage(
                InstanceId("runner-$it"),
                "127.0.0.1:${10_000 + it}",
                "zone-${it % ZONES}",
                Holding.Stage(
                    MODEL,
                    range * LAYERS_PER_RANGE,
                    (range + 1) * LAYERS_PER_RANGE,
                    RANGES * LAYERS_PER_RANGE,
                    tokensPerSecond = 1_000.0 * (1 + random.nextInt(ACCELERATOR_KINDS))
                )
            )
        }
    }
}
