package org.jacinthlink.processtests

import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import org.jacinthlink.api.RequestId
import org.jacinthlink.cli.site.LocalSite

/** Runs of each (layer, position) of [requestId] over all engines and attempts. */
fun LocalSite.runsByLayerAndPosition(requestId: RequestId): Map<Pair<Int, Int>, Int> =
    stages
        .flatMap { it.engine.executions(requestId).executions }
        .groupBy { it.layer to it.position }
        .mapValues { (_, runs) -> runs.sumOf { it.count } }

/**
 * Checks that each layer of [layerCount] ran exactly once at each position, except for layers in
 * [rebuilt], which ran on a replacement as well.
 */
fun LocalSite.shouldHaveRunOnce(
    requestId: RequestId,
    layerCount: Int,
    positions: Int,
    rebuilt: IntRange = IntRange.EMPTY
) {
    val runs = runsByLayerAndPosition(requestId)
    for (layer in 0 until layerCount) {
        for (position in 0 until positions) {
            withClue("layer $layer at position $position of $requestId") {
                val count = runs[layer to position] ?: 0
                if (layer in rebuilt) (count in 1..2) shouldBe true else count shouldBe 1
            }
        }
    }
    withClue("order violations of $requestId") {
        stages.sumOf { it.engine.executions(requestId).orderViolations } shouldBe 0
    }
}
