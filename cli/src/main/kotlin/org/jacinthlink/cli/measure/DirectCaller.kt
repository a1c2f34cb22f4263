package org.jacinthlink.cli.measure

import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.EngineOutput
import org.jacinthlink.api.EngineResult
import org.jacinthlink.api.ModelEngine
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.StreamKey
import org.jacinthlink.cli.load.LoadStream
import org.jacinthlink.cli.load.ScheduledRequest
import org.jacinthlink.cli.load.peerCall
import org.jacinthlink.cli.load.promptTokens
import org.jacinthlink.cli.load.referenceTokens
import org.jacinthlink.runtime.http.PeerClient

/**
 * Sends requests to the backend servers themselves.
 *
 * @property engines Engines of one pipeline, in the order of their layers.
 * @property serviceUrl URL of the plain service.
 */
internal class DirectCaller(
    private val client: PeerClient,
    private val engines: List<ModelEngine>,
    private val serviceUrl: String,
    private val work: OverheadWork
) : OverheadCaller {
    override fun chat(number: Int): List<Long> {
        val request = ScheduledRequest(0, work.chat, number)
        val stream = StreamKey(RequestId("direct-$number"), attempt = 0)
        val tokens = mutableListOf<String>()
        val startNs = System.nanoTime()
        var input = EngineInput(stream, 0, promptTokens(request))
        val timesUs =
            List(work.chat.maxTokens) {
                val token = nextToken(input)
                tokens += token
                val nextPosition = input.firstPosition + input.payloads.size
                input = EngineInput(stream, nextPosition, listOf(token))
                (System.nanoTime() - startNs) / NANOS_PER_MICRO
            }
        engines.forEach { done(it.release(stream)) }
        check(tokens == referenceTokens(request)) { "wrong answer to direct chat $number: $tokens" }
        return timesUs
    }

    override fun plainGet(number: Int) = plain(work.plainGet, number)

    override fun keyedPost(number: Int) = plain(work.keyedPost, number)

    /** Runs [input] through all layers, stage by stage. */
    private fun nextToken(input: EngineInput): String =
        engines
            .fold(EngineOutput(input.stream, input.firstPosition, input.payloads)) { last, engine ->
                done(engine.step(listOf(input.copy(payloads = last.payloads)))).single()
            }.nextToken ?: error("the last stage sampled no token")

    private fun <T> done(result: EngineResult<T>): T =
        when (result) {
            is EngineResult.Done -> result.value
            else -> error("an engine did not do as asked: $result")
        }

    // The service knows neither the system's paths nor its headers; the body is the same.
    private fun plain(stream: LoadStream, number: Int) {
        val call =
            peerCall(ScheduledRequest(0, stream, number), "", RUN_ID)
                .copy(url = "$serviceUrl/${stream.path}", headers = emptyMap())
        client.call(call, CALL_TIMEOUT_MS).checkSuccess("direct ${stream.name}")
    }

    private companion object {
        const val RUN_ID = "direct"
        const val CALL_TIMEOUT_MS = 10_000L
        const val NANOS_PER_MICRO = 1_000L
    }
}
