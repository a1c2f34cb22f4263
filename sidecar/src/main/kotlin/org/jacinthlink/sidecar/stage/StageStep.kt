package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.WorkClass
import org.jacinthlink.decision.stage.StepBounds
import org.jacinthlink.decision.stage.StepCandidate
import org.jacinthlink.decision.stage.stepScheduler

/**
 * Selects the inputs of the next step from the streams that have any.
 *
 * @param positionsWithin Positions of a step that lasts a time in ms.
 */
internal class StageStep(
    private val limits: StageLimits,
    private val positionsWithin: (Double) -> Int
) {
    private val scheduler = stepScheduler()
    private var stepMs = shortestTokenGapMs(emptyMap())

    fun update(classes: Map<String, WorkClass>) {
        scheduler.update(classes)
        stepMs = shortestTokenGapMs(classes)
    }

    /**
     * Inputs for one step; empty if there is none. An isolated stream runs alone.
     *
     * @param waiting Streams with pending inputs, the one that waits longest first.
     * @param inProgress Streams of the steps that the engine has already.
     * @param streamCount All streams on this stage.
     */
    fun select(
        waiting: Collection<StageStream>,
        inProgress: Collection<StageStream>,
        streamCount: Int
    ): List<EngineInput> {
        val first = waiting.firstOrNull() ?: return emptyList()
        if (inProgress.isNotEmpty() && !isWorthQueueing(waiting, inProgress, streamCount)) {
            return emptyList()
        }
        if (first.isolated) return listOf(input(first, limits.maxStepPositions))
        val shared = waiting.filterNot { it.isolated }.associateBy { it.key }
        return scheduler
            .select(shared.values.map(::candidate), bounds(shared.values, streamCount))
            .map { input(shared.getValue(it.stream), it.positions) }
    }

    // A step behind another one hides the time of the calls. A small one would only add its fixed
    // part, and its streams can join others until the engine is free.
    private fun isWorthQueueing(
        waiting: Collection<StageStream>,
        inProgress: Collection<StageStream>,
        streamCount: Int
    ): Boolean =
        waiting.none { it.isolated } &&
            inProgress.none { it.isolated } &&
            waiting.size >= decodeLimit(waiting.first(), streamCount)

    private fun bounds(waiting: Collection<StageStream>, streamCount: Int): StepBounds {
        val isPrefillOnly = waiting.size == streamCount && waiting.none { it.pending.size == 1 }
        // Streams that decode may be on another stage at the moment; they must find this one free
        // soon when they come back.
        val positions = positionLimit()
        return StepBounds(
            positions,
            if (isPrefillOnly) positions else minOf(limits.prefillChunkPositions, positions),
            decodeLimit(waiting.first(), streamCount)
        )
    }

    // A step in progress is not interrupted, so a token of any class may wait for the rest of one
    // and for another behind it. On a slow accelerator a few prompts would take half a second.
    private fun positionLimit(): Int =
        minOf(positionsWithin(stepMs), limits.maxStepPositions)

    // Each stream is on one stage at a time. With all of them in one step, the other stages would
    // idle meanwhile, so each stage of the route gets its part, and one more part is on the way.
    private fun decodeLimit(stream: StageStream, streamCount: Int): Int =
        ceilDiv(streamCount, stream.stageCount + 1).coerceIn(1, limits.maxStepPositions)

    private fun ceilDiv(dividend: Int, divisor: Int) = (dividend + divisor - 1) / divisor

    private fun candidate(stream: StageStream) =
        StepCandidate(stream.key, stream.workClass, stream.workspace, stream.pending.size)

    private fun input(stream: StageStream, maxPositions: Int): EngineInput {
        stream.stepping = minOf(maxPositions, stream.pending.size)
        return EngineInput(stream.key, stream.ran, stream.pending.take(stream.stepping))
    }
}
