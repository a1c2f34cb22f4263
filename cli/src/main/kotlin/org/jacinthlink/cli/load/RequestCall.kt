package org.jacinthlink.cli.load

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.jacinthlink.api.Headers
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.standins.referenceAnswer

/** Words of the prompt of [request]. They differ between requests, so that crossed answers show. */
internal fun promptWords(request: ScheduledRequest): List<String> =
    List(request.stream.promptTokens) { index ->
        if (index == 0) "${request.stream.name}-${request.number}" else "word$index"
    }

/** Tokens that an entry makes of the prompt of [request]: the words of "role: content". */
internal fun promptTokens(request: ScheduledRequest): List<String> =
    listOf("user:") + promptWords(request)

/** Right answer to [request], whose stream has a model and its number of layers. */
internal fun referenceTokens(request: ScheduledRequest): List<String> =
    referenceAnswer(
        request.stream.model!!,
        request.stream.verifyLayerCount!!,
        promptTokens(request),
        request.stream.maxTokens
    )

/** The HTTP call of [request] to the entry at [entryUrl]. [runId] keeps runs apart. */
internal fun peerCall(request: ScheduledRequest, entryUrl: String, runId: String): PeerCall {
    val stream = request.stream
    val identity =
        mapOf(Headers.WORKSPACE to stream.workspace, Headers.WORK_CLASS to stream.workClass)
    val base = entryUrl.trimEnd('/')
    if (stream.model != null) {
        val body = chatBody(request, stream.model).toString()
        return PeerCall("POST", "$base/v1/chat/completions", body, identity)
    }
    val url = "$base/v1/services/${stream.service}/${stream.path.trimStart('/')}"
    if (stream.method == "GET") return PeerCall("GET", url, null, identity)
    val reference = "$runId-${stream.name}-${request.number}"
    val body = buildJsonObject { put("reference", reference) }.toString()
    return PeerCall(stream.method, url, body, identity + (Headers.IDEMPOTENCY_KEY to reference))
}

private fun chatBody(request: ScheduledRequest, model: String): JsonObject =
    buildJsonObject {
        put("model", model)
        put("stream", true)
        put("max_tokens", request.stream.maxTokens)
        putJsonArray("messages") {
            addJsonObject {
                put("role", "user")
                put("content", promptWords(request).joinToString(" "))
            }
        }
    }
