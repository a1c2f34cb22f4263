package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.EngineInput

/** Selects the inputs of the next step from the streams that have any. */
internal class StageStep(private val limits: StageLimits) {
    /**
     * Inputs for one step. An isolated stream runs alone.
     *
     * @param waiting Streams with pending inputs, the one that waits longest first.
     */
    fun select(waiting: Collection<StageStream>): List<EngineInput> {
        val first = waiting.firstOrNull() ?: return emptyList()
        if (first.isolated) return listOf(input(first, limits.maxStepPositions))
        val (decoding, prefilling) = waiting.filterNot { it.isolated }.partition { isDecoding(it) }
        val selected = ArrayList<EngineInput>()
        var budget = limits.maxStepPositions
        for (stream in decoding.take(budget)) {
            selected += input(stream, 1)
            budget--
        }
        val chunk = if (decoding.isEmpty()) budget else limits.prefillChunkPositions
        for (stream in prefilling) {
            if (budget <= 0) break
            val taken = input(stream, minOf(chunk, budget))
            selected += taken
            budget -= taken.payloads.size
        }
        return selected
    }

    private fun isDecoding(stream: StageStream) = stream.pending.size == 1

    private fun input(stream: StageStream, maxPositions: Int): EngineInput {
        stream.stepping = minOf(maxPositions, stream.pending.size)
        return EngineInput(stream.key, stream.ran, stream.pending.take(stream.stepping))
    }
}
