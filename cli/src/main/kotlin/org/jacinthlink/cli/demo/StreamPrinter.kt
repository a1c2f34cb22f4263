package org.jacinthlink.cli.demo

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.jacinthlink.api.Headers
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.RequestId
import org.jacinthlink.runtime.http.LineListener
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.headerValue

/** Prints the tokens of a streamed answer as they arrive. */
internal class StreamPrinter : LineListener {
    private val ended = CompletableFuture<RequestId?>()
    private var requestId: RequestId? = null
    private var isDone = false

    override fun onStart(status: Int, headers: Map<String, String>) {
        requestId = headers.headerValue(Headers.REQUEST_ID)?.let(::RequestId)
    }

    override fun onLine(line: String) {
        val data = line.removePrefix("data: ")
        when {
            line.isBlank() -> Unit
            data == "[DONE]" -> isDone = true
            line.startsWith("data: ") -> print(contentOf(data))
            else -> println(line)
        }
        System.out.flush()
    }

    override fun onEnd() {
        println()
        ended.complete(requestId.takeIf { isDone })
    }

    override fun onFailure(result: PeerResult) {
        println("\n$result")
        ended.complete(null)
    }

    /** Id of the request once its answer is complete; null if it did not complete. */
    fun await(timeoutMs: Long): RequestId? =
        try {
            ended.get(timeoutMs, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            null
        }

    private fun contentOf(data: String): String =
        ProtocolJson.parseToJsonElement(data)
            .jsonObject["choices"]?.jsonArray?.firstOrNull()
            ?.jsonObject?.get("delta")
            ?.jsonObject?.get("content")
            ?.jsonPrimitive?.content
            .orEmpty()
}
