package org.jacinthlink.standins

import org.jacinthlink.api.RequestId
import org.jacinthlink.api.StreamKey

/** Counts how often each layer ran at each position, for the latest [maxRequests] requests. */
internal class ExecutionRecord(private val maxRequests: Int) {
    private val requests =
        object : LinkedHashMap<RequestId, RequestRecord>() {
            override fun removeEldestEntry(eldest: Map.Entry<RequestId, RequestRecord>) =
                size > maxRequests
        }

    fun ran(stream: StreamKey, layers: IntRange, position: Int) {
        val spans = record(stream).spans
        val span = Span(stream.attempt, layers)
        val counts = spans[span] ?: IntArray(INITIAL_POSITIONS)
        val grown = if (position < counts.size) counts else counts.copyOf(position * 2)
        grown[position]++
        spans[span] = grown
    }

    fun violated(stream: StreamKey) {
        record(stream).orderViolations++
    }

    fun of(requestId: RequestId): EngineExecutions {
        val found = requests[requestId] ?: return EngineExecutions(requestId.value)
        val executions =
            found.spans.flatMap { (span, counts) ->
                span.layers.flatMap { layer -> executions(span.attempt, layer, counts) }
            }
        return EngineExecutions(requestId.value, merged(executions), found.orderViolations)
    }

    private fun executions(attempt: Int, layer: Int, counts: IntArray) =
        counts.indices
            .filter { counts[it] > 0 }
            .map { LayerExecution(attempt, layer, it, counts[it]) }

    // Spans overlap when the engine was given another range of layers during the request.
    private fun merged(executions: List<LayerExecution>) =
        executions
            .groupBy { it.copy(count = 0) }
            .map { (key, same) -> key.copy(count = same.sumOf { it.count }) }

    private fun record(stream: StreamKey) =
        requests.getOrPut(stream.requestId) { RequestRecord() }

    private class RequestRecord {
        val spans = LinkedHashMap<Span, IntArray>()
        var orderViolations = 0
    }

    private data class Span(val attempt: Int, val layers: IntRange)

    private companion object {
        const val INITIAL_POSITIONS = 32
    }
}
