package org.jacinthlink.router.soak

import java.io.IOException
import java.io.InputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpTimeoutException
import java.time.Duration

/** Deadline that callers set for a request. */
internal const val DEADLINE_MS = 3_000L

/** Kind of request, with the path and the method that callers use for it. */
internal enum class CallKind(val path: String, val method: String) {
    STREAM("/s/x", "POST"),
    SAFE("/safe/x", "GET"),
    UNSAFE("/once/x", "POST"),

    /** As [SAFE], to a service all of whose servers stutter. */
    STUTTERING_SAFE("/stuttering/x", "GET"),

    /** As [UNSAFE], to a service all of whose servers stutter. */
    STUTTERING_UNSAFE("/stuttering-once/x", "POST"),

    /** As [STREAM], which may run only once, to an engine that stutters. */
    STUTTERING_STREAM("/stuttering-stream/x", "POST");

    val isUnsafe: Boolean get() = this in listOf(UNSAFE, STUTTERING_UNSAFE, STUTTERING_STREAM)

    val isStream: Boolean get() = this == STREAM || this == STUTTERING_STREAM

    companion object {
        /** Kinds of requests to services that have servers without faults. */
        val SOUND = listOf(STREAM, SAFE, UNSAFE)
    }
}

/**
 * Result of one request as its caller has received it.
 *
 * @property status Status of the response, or null if its headers were not received.
 * @property isWhole True if the body was received to its end.
 * @property signature Signature of a server, or null if the response has none.
 * @property answeredId Id of the request that the response names, or null if it names none.
 * @property isUnanswered True if the request did not end within the caller's timeout.
 * @property startedAtMs Time at which the caller began to send the request.
 */
internal data class CallResult(
    val id: String,
    val kind: CallKind,
    val status: Int?,
    val isWhole: Boolean,
    val signature: String?,
    val answeredId: String?,
    val body: String,
    val isUnanswered: Boolean,
    val startedAtMs: Long
)

/**
 * Sends requests with the deadline [deadlineMs] over connections that are kept alive until a router
 * closes them. [lengthHint] is the number of events that streams are said to have.
 */
internal class SoakCaller(
    private val deadlineMs: Long = DEADLINE_MS,
    private val lengthHint: Int? = null
) {
    private val client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build()

    /** Sends one request to the router at [address] and reads the response. */
    fun call(address: String, kind: CallKind, id: String): CallResult {
        val startedAtMs = monotonicMs()
        val noResponse = CallResult(id, kind, null, false, null, null, "", false, startedAtMs)
        return try {
            val answer = client.send(request(address, kind, id), BODY)
            read(answer.body(), noResponse.withHead(answer))
        } catch (_: java.net.http.HttpConnectTimeoutException) {
            noResponse
        } catch (_: HttpTimeoutException) {
            noResponse.copy(isUnanswered = true)
        } catch (_: IOException) {
            noResponse
        }
    }

    private fun CallResult.withHead(answer: HttpResponse<*>) =
        copy(
            status = answer.statusCode(),
            signature = answer.headers().firstValue("Response-Seal").orElse(null),
            answeredId = answer.headers().firstValue("Attempt-Id").orElse(null)
        )

    private fun read(body: InputStream, head: CallResult): CallResult {
        val bytes = java.io.ByteArrayOutputStream()
        val isWhole = try {
            body.use { it.transferTo(bytes) }
            true
        } catch (_: IOException) {
            false
        }
        return head.copy(isWhole = isWhole, body = bytes.toString())
    }

    private fun request(address: String, kind: CallKind, id: String): HttpRequest =
        HttpRequest.newBuilder(URI("http://$address${kind.path}"))
            .method(kind.method, HttpRequest.BodyPublishers.ofString("hi"))
            .header("Host", "h.example")
            .header("Attempt-Id", id)
            .header("Request-Deadline", deadlineMs.toString())
            .header("Api-Key", "key")
            .header("Token-Counts", "100,20")
            .header("Tenant", "forged")
            .timeout(Duration.ofMillis(CLIENT_TIMEOUT_MS))
            .apply { lengthHint?.let { header("Length-Hint", "$it") } }
            .build()

    private companion object {
        init {
            System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host")
        }

        val BODY: HttpResponse.BodyHandler<InputStream> = HttpResponse.BodyHandlers.ofInputStream()

        /** Covers the deadline, the longest suspension of a router, and the start of a router. */
        const val CLIENT_TIMEOUT_MS = 8_000L
    }
}
