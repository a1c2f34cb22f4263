package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.WorkClass
import org.jacinthlink.decision.stage.StepBounds
import org.jacinthlink.decision.stage.StepCandidate
import org.jacinthlink.decision.stage.stepScheduler
import org.jacinthlink.decision.stage.stepTime

/** Selects the inputs of the next step from the streams that have any. */
internal class StageStep(private val limits: StageLimits) {
    private val scheduler = stepScheduler()
    private val stepTime = stepTime()
    private var classes: Map<String, WorkClass> = emptyMap()

    fun update(classes: Map<String, WorkClass>) {
        this.classes = classes
        scheduler.update(classes)
    }

    fun onStepTime(positions: Int, elapsedMs: Double) = stepTime.record(positions, elapsedMs)

    /**
     * Inputs for one step. An isolated stream runs alone.
     *
     * @param waiting Streams with pending inputs, the one that waits longest first.
     * @param streams All streams on this stage.
     */
    fun select(
        waiting: Collection<StageStream>,
        streams: Collection<StageStream>
    ): List<EngineInput> {
        val first = waiting.firstOrNull() ?: return emptyList()
        if (first.isolated) return listOf(input(first, limits.maxStepPositions))
        val shared = waiting.filterNot { it.isolated }.associateBy { it.key }
        return scheduler
            .select(shared.values.map(::candidate), bounds(shared.values, streams))
            .map { input(shared.getValue(it.stream), it.positions) }
    }

    private fun bounds(
        waiting: Collection<StageStream>,
        streams: Collection<StageStream>
    ): StepBounds {
        val isPrefillOnly = waiting.size == streams.size && waiting.none { it.pending.size == 1 }
        // Streams that decode may be on another stage at the moment; they must find this one free
        // soon when they come back.
        return StepBounds(
            positionLimit(streams, isPrefillOnly),
            if (isPrefillOnly) limits.maxStepPositions else limits.prefillChunkPositions,
            decodeLimit(waiting.first(), streams.size)
        )
    }

    // A step in progress is not interrupted. A token waits for the rest of one step and runs in one
    // itself on each stage of its route, and the gap that its class tolerates has to hold both.
    private fun positionLimit(streams: Collection<StageStream>, isPrefillOnly: Boolean): Int {
        val workspaces = streams.distinctBy { it.workClass to it.workspace }.size
        if (isPrefillOnly && workspaces == 1) return limits.maxStepPositions
        val stepMs =
            streams.minOf { stream ->
                gapMs(stream.workClass).toDouble() / (STEPS_PER_STAGE * stream.stageCount)
            }
        return minOf(stepTime.positionsWithin(stepMs) ?: Int.MAX_VALUE, limits.maxStepPositions)
    }

    private fun gapMs(workClass: String): Long =
        classes[workClass]?.tokenGapMs ?: WorkClass.DEFAULT_TOKEN_GAP_MS

    // Each stream is on one stage at a time. With all of them in one step, the other stages would
    // idle meanwhile, so each stage of the route gets its part.
    private fun decodeLimit(stream: StageStream, streamCount: Int): Int =
        ceilDiv(streamCount, stream.route.size).coerceIn(1, limits.maxStepPositions)

    private fun ceilDiv(dividend: Int, divisor: Int) = (dividend + divisor - 1) / divisor

    private fun candidate(stream: StageStream) =
        StepCandidate(stream.key, stream.workClass, stream.workspace, stream.pending.size)

    private fun input(stream: StageStream, maxPositions: Int): EngineInput {
        stream.stepping = minOf(maxPositions, stream.pending.size)
        return EngineInput(stream.key, stream.ran, stream.pending.take(stream.stepping))
    }

    private companion object {
        const val STEPS_PER_STAGE = 2
    }
}
