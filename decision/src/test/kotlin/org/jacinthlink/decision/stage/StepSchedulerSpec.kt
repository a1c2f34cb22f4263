package org.jacinthlink.decision.stage

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.WorkClass
import org.jacinthlink.api.WorkspaceId

private val CLASSES =
    listOf(
        WorkClass("urgent", targetMs = 750, worth = 30),
        WorkClass("archive", targetMs = 60_000, worth = 10)
    ).associateBy { it.name }

private fun waiting(workClass: String, workspace: String, count: Int, positions: Int = 1) =
    List(count) {
        val key = StreamKey(RequestId("$workClass-$workspace-$it"), 0)
        StepCandidate(key, workClass, WorkspaceId(workspace), positions)
    }

private fun bounds(positions: Int) = StepBounds(positions, positions, positions)

private fun List<StepShare>.positionsOf(prefix: String) =
    filter { it.stream.requestId.value.startsWith(prefix) }.sumOf { it.positions }

class StepSchedulerSpec :
    DescribeSpec({
        describe("a step with less capacity than work") {
            // Guards against a flood of one class that fills the steps.
            it("is shared between classes by worth") {
                val scheduler = stepScheduler(CLASSES)
                val flood = waiting("archive", "a", 50) + waiting("urgent", "b", 50)
                val steps = List(100) { scheduler.select(flood, bounds(7)) }
                steps.sumOf { it.positionsOf("urgent") } / 700.0 shouldBe (0.75 plusOrMinus 0.02)
            }
            // Guards against a workspace that fills the steps with many streams.
            it("is shared evenly between the workspaces of a class") {
                val scheduler = stepScheduler(CLASSES)
                val flood = waiting("urgent", "large", 200) + waiting("urgent", "small", 4)
                val steps = List(100) { scheduler.select(flood, bounds(8)) }
                steps.sumOf { it.positionsOf("urgent-small") } shouldBe 400
            }
            // Guards against a small workspace that waits for each stream of a large one.
            it("serves a workspace below its share first, with its whole prompt") {
                val scheduler = stepScheduler(CLASSES)
                val large = waiting("urgent", "large", 200)
                repeat(100) { scheduler.select(large, bounds(8)) }
                val small = waiting("urgent", "small", 1, positions = 6)
                scheduler.select(large, bounds(8))
                scheduler.select(large + small, bounds(8)).positionsOf("urgent-small") shouldBe 6
            }
            // Guards against a workspace that fills all steps for a long time after being idle.
            it("gives a workspace that was idle for long no more than a bounded burst") {
                val scheduler = stepScheduler(CLASSES)
                val steady = waiting("urgent", "steady", 20)
                val returning = waiting("urgent", "back", 20)
                scheduler.select(returning, bounds(8))
                repeat(10_000) { scheduler.select(steady, bounds(8)) }
                val steps = List(100) { scheduler.select(steady + returning, bounds(8)) }
                steps.sumOf { it.positionsOf("urgent-steady") } shouldBeGreaterThanOrEqual
                    (800 - 256) / 2 - 8
            }
        }

        describe("the streams of one workspace") {
            // Guards against starvation of prompts by decoding streams.
            it("run longest-waiting first, whether they prefill or decode") {
                val prompt = waiting("urgent", "w", 1, positions = 90)
                val decoding = waiting("urgent", "w-decoding", 8)
                    .map { it.copy(workspace = WorkspaceId("w")) }
                val chosen = stepScheduler(CLASSES).select(prompt + decoding, bounds(4))
                chosen shouldBe listOf(StepShare(prompt.single().stream, 4))
            }
            it("stay within the bounds of prefill and of decoding streams") {
                val prompts = waiting("urgent", "w", 2, positions = 90)
                val decoding = waiting("archive", "w", 8)
                val chosen =
                    stepScheduler(CLASSES).select(prompts + decoding, StepBounds(200, 100, 3))
                chosen.positionsOf("archive") shouldBe 3
                chosen.shouldContainAll(
                    StepShare(prompts[0].stream, 90),
                    StepShare(prompts[1].stream, 10)
                )
            }
        }
    })
