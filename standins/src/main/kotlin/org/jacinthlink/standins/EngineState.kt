package org.jacinthlink.standins

import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.EngineLoad
import org.jacinthlink.api.EngineOutput
import org.jacinthlink.api.LoadOrder
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.StreamKey

/** Layers, KV state and execution record of an engine. Not safe for use by several threads. */
internal class EngineState(private val settings: EngineSettings) {
    private val record = ExecutionRecord(settings.historyRequests)
    private val streams = HashMap<StreamKey, StreamState>()
    private var held: LoadOrder? = settings.initial
    private var highestFence = settings.initial?.fence ?: 0L

    var orderViolations = 0
        private set

    val load: EngineLoad
        get() = EngineLoad(streams.size, streams.values.sumOf { it.nextPosition })

    /** Returns why [order] is refused, or null. The same layers again keep the KV state. */
    fun load(order: LoadOrder): String? {
        if (settings.checksFence && order.fence < highestFence) {
            return "fencing number ${order.fence} is below $highestFence"
        }
        if (order.firstLayer !in 0 until order.endLayer || order.endLayer > order.layerCount) {
            return "no such layers: ${order.firstLayer} until ${order.endLayer}"
        }
        highestFence = maxOf(highestFence, order.fence)
        if (held?.copy(fence = order.fence) != order) streams.clear()
        held = order
        return null
    }

    /** Checks a whole batch before any of it runs. */
    fun check(items: List<EngineInput>): StepCheck {
        val order = held ?: return StepCheck.Refused("no layers are loaded")
        val expected = HashMap<StreamKey, Int>()
        for (item in items) {
            if (item.payloads.any { it.trim() == settings.crashWord }) return StepCheck.Crash
            val next = expected[item.stream] ?: streams[item.stream]?.nextPosition ?: 0
            if (item.firstPosition != next || item.payloads.isEmpty()) {
                orderViolations++
                record.violated(item.stream)
                return StepCheck.Refused(
                    "${item.stream} continues at $next, not at ${item.firstPosition}"
                )
            }
            expected[item.stream] = next + item.payloads.size
        }
        val layers = order.endLayer - order.firstLayer
        return StepCheck.Accepted(items.sumOf { it.payloads.size } * layers)
    }

    /** Runs a batch that [check] has accepted. */
    fun run(items: List<EngineInput>): List<EngineOutput> = items.map(::runItem)

    fun release(stream: StreamKey) {
        streams.remove(stream)
    }

    fun crash() {
        streams.clear()
        held = settings.initial
        highestFence = settings.initial?.fence ?: 0L
    }

    fun executions(requestId: RequestId): EngineExecutions = record.of(requestId)

    private fun runItem(item: EngineInput): EngineOutput {
        val order = held!!
        val layers = order.firstLayer until order.endLayer
        val state = streams.getOrPut(item.stream) { StreamState(layers.count()) }
        val outputs =
            item.payloads.map { payload ->
                record.ran(item.stream, layers, state.nextPosition)
                state.advance(order.model, layers, payload)
            }
        val last = order.endLayer == order.layerCount
        return EngineOutput(
            item.stream,
            item.firstPosition,
            if (last) emptyList() else outputs,
            if (last) sampleToken(outputs.last()) else null
        )
    }

    private class StreamState(layers: Int) {
        private val previous = arrayOfNulls<String>(layers)
        var nextPosition = 0
            private set

        fun advance(model: String, layers: IntRange, input: String): String {
            var payload = input
            for (layer in layers) {
                val index = layer - layers.first
                payload = layerOutput(model, layer, payload, previous[index])
                previous[index] = payload
            }
            nextPosition++
            return payload
        }
    }
}
