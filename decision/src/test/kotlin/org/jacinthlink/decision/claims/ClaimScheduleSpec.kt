package org.jacinthlink.decision.claims

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlin.random.Random

private const val SCHEDULES = 30_000
private const val STEPS = 400

/**
 * Guards against a second execution of a key, and against an execution after a refusal, in random
 * interleavings of three sidecars that crash, pause, prune claims and lose the responses to their
 * writes.
 */
class ClaimScheduleSpec :
    DescribeSpec({
        describe("random schedules") {
            it("execute each key at most once and never despite a refusal or cancellation") {
                val firstSeed = System.getProperty("claims.seed")?.toLong() ?: 1L
                println("claim schedules: seeds $firstSeed to ${firstSeed + SCHEDULES - 1}")
                val eventCounts = mutableMapOf<String, Int>()
                repeat(SCHEDULES) { index ->
                    val seed = firstSeed + index
                    val simulation = ClaimSimulation(Random(seed))
                    simulation.run(STEPS)
                    simulation.checkFinalRefusals()
                    withClue("seed=$seed") { simulation.violations.shouldBeEmpty() }
                    simulation.eventCounts.forEach { (event, count) ->
                        eventCounts.merge(event, count, Int::plus)
                    }
                }
                println("claim schedules: $eventCounts")
                listOf(
                    "executed",
                    "replayed",
                    "cancelled",
                    "key reused",
                    "pruned",
                    "crash",
                    "late write took effect",
                    "sealed",
                    "written to a reused slot"
                ).forEach {
                    withClue(it) { eventCounts.getOrDefault(it, 0) shouldBeGreaterThan 1_000 }
                }
            }
        }
    })
