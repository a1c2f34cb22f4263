package org.jacinthlink.entry.chat

import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.runtime.http.jsonResponse

/** Collects the tokens and answers once. */
internal class WholeResponder(private val job: ChatJob, private val respond: (Response) -> Unit) :
    ChatResponder {
    private val content = StringBuilder()

    override fun token(text: String) {
        content.append(text)
    }

    override fun idle() = Unit

    override fun end(reason: String, tokenCount: Int) {
        val completion =
            Completion(
                completionId(job),
                job.receivedAtMs / 1_000,
                job.chat.model,
                listOf(CompletionChoice(CompletionMessage(content.toString()), reason)),
                CompletionUsage(job.chat.promptTokens.size, tokenCount)
            )
        val json = CompletionJson.encodeToString(Completion.serializer(), completion)
        respond(jsonResponse(Status.OK, json))
    }

    override fun fail(failure: ChatFailure) = respond(failureResponse(job, failure))

    // The connection is not written to before the end, so a departure shows only then.
    override fun onDisconnect(listener: () -> Unit) = Unit
}
