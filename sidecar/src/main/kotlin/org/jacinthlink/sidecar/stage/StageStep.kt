package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.EngineInput

/** Selects the inputs of the next step from the streams that have any. */
internal class StageStep(private val limits: StageLimits) {
    /**
     * Inputs for one step. An isolated stream runs alone.
     *
     * @param waiting Streams with pending inputs, the one that waits longest first.
     * @param streamCount All streams on this stage.
     */
    fun select(waiting: Collection<StageStream>, streamCount: Int): List<EngineInput> {
        val first = waiting.firstOrNull() ?: return emptyList()
        if (first.isolated) return listOf(input(first, limits.maxStepPositions))
        val (decoding, prefilling) = waiting.filterNot { it.isolated }.partition { isDecoding(it) }
        val selected =
            decoding.take(decodeLimit(first, streamCount)).map { input(it, 1) }.toMutableList()
        // Streams that decode may be on another stage at the moment; they must find this one free
        // soon when they come back.
        val isPrefillOnly = prefilling.size == streamCount
        val prefillLimit =
            if (isPrefillOnly) limits.maxStepPositions else limits.prefillChunkPositions
        var budget = minOf(prefillLimit, limits.maxStepPositions - selected.size)
        for (stream in prefilling) {
            if (budget <= 0) break
            val taken = input(stream, budget)
            selected += taken
            budget -= taken.payloads.size
        }
        return selected
    }

    // Each stream is on one stage at a time. With all of them in one step, the other stages would
    // idle meanwhile, so each stage of the route gets its part.
    private fun decodeLimit(stream: StageStream, streamCount: Int): Int =
        ceilDiv(streamCount, stream.route.size).coerceIn(1, limits.maxStepPositions)

    private fun ceilDiv(dividend: Int, divisor: Int) = (dividend + divisor - 1) / divisor

    private fun isDecoding(stream: StageStream) = stream.pending.size == 1

    private fun input(stream: StageStream, maxPositions: Int): EngineInput {
        stream.stepping = minOf(maxPositions, stream.pending.size)
        return EngineInput(stream.key, stream.ran, stream.pending.take(stream.stepping))
    }
}
