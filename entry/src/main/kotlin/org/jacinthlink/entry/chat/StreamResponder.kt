package org.jacinthlink.entry.chat

import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.ErrorBody
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.errorBody
import org.jacinthlink.runtime.http.PushBody
import org.jacinthlink.runtime.http.PushSink

/**
 * Answers with server-sent events.
 *
 * The status is sent with the first token, so that a refusal before it is an HTTP error.
 */
internal class StreamResponder(private val job: ChatJob, private val respond: (Response) -> Unit) :
    ChatResponder {
    private var sink: PushSink? = null
    private var disconnectListener: () -> Unit = {}
    private var idleCalls = 0

    override fun token(text: String) {
        val role = if (sink == null) "assistant" else null
        begin()
        send(ChunkChoice(ChunkDelta(role, text)))
    }

    // A write is the only way to notice that the caller went away.
    override fun idle() {
        if (++idleCalls % IDLE_CALLS_PER_COMMENT == 0) sink?.send(": waiting\n\n")
    }

    override fun end(reason: String, tokenCount: Int) {
        begin()
        send(ChunkChoice(ChunkDelta(), reason))
        sink?.send("data: [DONE]\n\n")
        sink?.close()
    }

    override fun fail(failure: ChatFailure) {
        val open = sink ?: return respond(failureResponse(job, failure))
        val body = errorBody(failure.code, failure.message, job.requestId, failure.notRun)
        val json = ProtocolJson.encodeToString(ErrorBody.serializer(), body)
        open.send("data: $json\n\n")
        open.close()
    }

    override fun onDisconnect(listener: () -> Unit) {
        disconnectListener = listener
    }

    private fun begin() {
        if (sink != null) return
        val body = PushBody { opened ->
            sink = opened
            opened.onDisconnect { disconnectListener() }
        }
        respond(
            Response(Status.OK)
                .header("content-type", "text/event-stream")
                .header("cache-control", "no-cache")
                .body(body)
        )
    }

    private fun send(choice: ChunkChoice) {
        val chunk =
            CompletionChunk(
                completionId(job),
                job.receivedAtMs / 1_000,
                job.chat.model,
                listOf(choice)
            )
        val json = CompletionJson.encodeToString(CompletionChunk.serializer(), chunk)
        sink?.send("data: $json\n\n")
    }

    private companion object {
        // Heads send a heartbeat each 250 ms.
        const val IDLE_CALLS_PER_COMMENT = 4
    }
}
