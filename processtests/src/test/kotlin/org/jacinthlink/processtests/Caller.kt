package org.jacinthlink.processtests

import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.jacinthlink.api.ErrorBody
import org.jacinthlink.api.Headers
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.ResultCode
import org.jacinthlink.runtime.http.LineListener
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.StreamCall
import org.jacinthlink.runtime.http.headerValue
import org.jacinthlink.runtime.http.peerClient

/** A caller of the system: sends chat requests and plain calls to one entry. */
class Caller(private val entryAddress: String, private val workspace: String = "shop-1") {
    /** Sends a chat request that is answered whole. */
    fun chat(question: Question, timeoutMs: Long = 30_000): PeerResult =
        client.call(call(question, stream = false), timeoutMs, fresh = true)

    /** Sends a chat request that is answered token by token. */
    fun stream(question: Question): StreamedAnswer {
        val answer = StreamedAnswer()
        answer.call = client.stream(call(question, stream = true), 2_000, answer)
        return answer
    }

    /** Calls a plain service. */
    fun plain(
        method: String,
        path: String,
        body: String? = null,
        key: String? = null,
        workClass: String = "quotation",
        timeoutMs: Long = 15_000
    ): PeerResult {
        val headers = identity(workClass) + (key?.let { mapOf("Idempotency-Key" to it) }.orEmpty())
        val url = "http://$entryAddress/v1/services$path"
        return client.call(PeerCall(method, url, body, headers), timeoutMs, fresh = true)
    }

    /** Sends [body] as it is to the chat endpoint. */
    fun raw(body: String, headers: Map<String, String>): PeerResult =
        client.call(PeerCall("POST", chatUrl, body, headers), 5_000, fresh = true)

    private val chatUrl get() = "http://$entryAddress/v1/chat/completions"

    private fun call(question: Question, stream: Boolean) =
        PeerCall("POST", chatUrl, body(question, stream), identity(question.workClass))

    private fun identity(workClass: String) =
        mapOf(Headers.WORKSPACE to workspace, Headers.WORK_CLASS to workClass)

    private fun body(question: Question, stream: Boolean) =
        buildJsonObject {
            put("model", question.model)
            put("stream", stream)
            put("max_tokens", question.maxTokens)
            putJsonArray("messages") {
                addJsonObject {
                    put("role", JsonPrimitive("user"))
                    put("content", question.text)
                }
            }
        }.toString()

    private companion object {
        val client = peerClient()
    }
}

/** A chat request. */
data class Question(
    val text: String,
    val maxTokens: Int = 20,
    val model: String = "lamp-12",
    val workClass: String = "quotation"
) {
    /** Tokens that the entry makes of this question. */
    val promptTokens: List<String> get() = "user: $text".split(' ')
}

/** A streamed answer while it arrives. */
class StreamedAnswer : LineListener {
    val tokens = CopyOnWriteArrayList<String>()
    val arrivedAtMs = CopyOnWriteArrayList<Long>()
    lateinit var call: StreamCall
    private val ended = CompletableFuture<Unit>()
    private val headers = CompletableFuture<Map<String, String>>()
    private val errorLines = StringBuilder()

    @Volatile var status = 0
        private set

    @Volatile var isDone = false
        private set

    val requestId: RequestId
        get() = RequestId(headers.get(10, TimeUnit.SECONDS).headerValue(Headers.REQUEST_ID)!!)

    val error: String get() = errorLines.toString()

    override fun onStart(status: Int, headers: Map<String, String>) {
        this.status = status
        this.headers.complete(headers)
    }

    override fun onLine(line: String) {
        val data = line.removePrefix("data: ")
        when {
            !line.startsWith("data: ") -> errorLines.append(line)
            data == "[DONE]" -> isDone = true
            "\"error\"" in data -> errorLines.append(data)
            else -> contentOf(data)?.let(::add)
        }
    }

    override fun onEnd() {
        ended.complete(Unit)
    }

    override fun onFailure(result: PeerResult) {
        errorLines.append(result)
        headers.completeExceptionally(IllegalStateException(result.toString()))
        ended.complete(Unit)
    }

    /** Waits until the answer has ended in any way. */
    fun await(timeoutMs: Long = 30_000): StreamedAnswer {
        ended.get(timeoutMs, TimeUnit.MILLISECONDS)
        return this
    }

    /** Waits until [count] tokens have arrived. */
    fun awaitTokens(count: Int, timeoutMs: Long = 20_000) =
        eventually("$count tokens have arrived", timeoutMs) { tokens.size >= count }

    private fun add(text: String) {
        tokens += text
        arrivedAtMs += System.currentTimeMillis()
    }

    private fun contentOf(data: String): String? =
        ProtocolJson.parseToJsonElement(data)
            .jsonObject["choices"]?.jsonArray?.firstOrNull()
            ?.jsonObject?.get("delta")
            ?.jsonObject?.get("content")
            ?.jsonPrimitive?.content
            ?.takeIf { it.isNotEmpty() }
}

/** Result code of an error answer; null for any other answer. */
fun PeerResult.resultCode(): ResultCode? = errorDetail()?.let { detail ->
    ResultCode.entries.firstOrNull { it.number == detail.code }
}

/** Error of an answer, if it is one. */
fun PeerResult.errorDetail() =
    (this as? PeerResult.Answered)?.takeIf { !it.isSuccess }?.let {
        ProtocolJson.decodeFromString(ErrorBody.serializer(), it.body).error
    }

/** True for a 2xx answer. */
fun isSuccess(answer: PeerResult) = answer is PeerResult.Answered && answer.isSuccess

/** True for an answer of the plain service, with any status. */
fun isOfService(answer: PeerResult) = answer.replayedHeader() != null

/** True for the recorded result of an earlier call with the same key. */
fun isReplayed(answer: PeerResult) = isSuccess(answer) && answer.replayedHeader() == "true"

private fun PeerResult.replayedHeader(): String? =
    (this as? PeerResult.Answered)?.headers?.headerValue(Headers.REPLAYED)
