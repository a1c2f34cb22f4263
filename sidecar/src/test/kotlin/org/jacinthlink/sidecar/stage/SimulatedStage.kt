package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.EngineOutput
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.RouteStage
import org.jacinthlink.api.StreamKey

/** A stage's state with an engine that records each execution. */
internal class SimulatedStage(val level: Int, name: String, private val isLast: Boolean) {
    val route = RouteStage(InstanceId(name), name, level, level + 1)
    val state = StageState(route, StageLimits(4, 2, maxMessageBytes = 30))
    val runs = HashMap<StreamKey, MutableList<String>>()
    val faults = ArrayList<String>()
    var alive = true

    private val inProgress = ArrayDeque<Pair<List<EngineInput>, List<EngineOutput>>>()

    /** Hands a step to the engine, and ends the former one if there are two or nothing waits. */
    fun step(nowMs: Long) {
        val inputs = state.nextStep()
        if (inputs.isNotEmpty()) inProgress += inputs to inputs.map(::run)
        if (inputs.isNotEmpty() && inProgress.size < 2) return
        val (ended, outputs) = inProgress.removeFirstOrNull() ?: return
        state.completeStep(outputs, nowMs)
        state.endStep(ended)
    }

    private fun run(input: EngineInput): EngineOutput {
        val ran = runs.getOrPut(input.stream) { ArrayList() }
        if (ran.size != input.firstPosition) {
            faults += "${input.stream} ran ${input.firstPosition} after ${ran.size} positions"
        }
        ran += input.payloads
        val outputs = input.payloads.map { layerOutput(level, it) }
        val token = if (isLast) sampled(outputs.last()) else null
        val payloads = if (isLast) emptyList() else outputs
        return EngineOutput(input.stream, input.firstPosition, payloads, token)
    }

    companion object {
        fun layerOutput(level: Int, payload: String) = "$level:${payload.hashCode()}"

        fun sampled(output: String) = "w${output.hashCode()}"

        /** Tokens that [levels] stages generate after [prompt]. */
        fun reference(levels: Int, prompt: List<String>, count: Int): List<String> {
            val tokens = ArrayList<String>()
            while (tokens.size < count) {
                val input = tokens.lastOrNull() ?: prompt.last()
                tokens +=
                    sampled((0 until levels).fold(input) { at, level -> layerOutput(level, at) })
            }
            return tokens
        }
    }
}
