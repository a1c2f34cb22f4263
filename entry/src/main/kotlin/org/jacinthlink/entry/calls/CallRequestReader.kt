package org.jacinthlink.entry.calls

import org.http4k.core.Request
import org.jacinthlink.api.CallRequest
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Headers
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success
import org.jacinthlink.entry.CallerIdentity
import org.jacinthlink.entry.sha256Hex

/** Prefix of the paths of plain calls. */
internal const val SERVICES_PREFIX = "/v1/services/"

/** Service and path of a plain call. */
internal data class CallTarget(val service: String, val path: String)

/** Reads the target of [request], which is under [SERVICES_PREFIX]. */
internal fun callTarget(request: Request): Outcome<CallTarget> {
    val rest = request.uri.path.removePrefix(SERVICES_PREFIX)
    val service = rest.substringBefore('/')
    if (!SERVICE.matches(service)) {
        val shown = service.take(SHOWN)
        return Failure(ResultCode.UNKNOWN_SERVICE, "'$shown' is not the name of a service")
    }
    val query = request.uri.query.let { if (it.isEmpty()) "" else "?$it" }
    return Success(CallTarget(service, "/" + rest.substringAfter('/', "") + query))
}

/** Makes the message for a sidecar. A key counts only for methods that may not be repeated. */
internal fun callRequest(
    request: Request,
    requestId: RequestId,
    caller: CallerIdentity,
    target: CallTarget,
    idempotentMethods: Set<String>
): Outcome<CallRequest> {
    val method = request.method.name
    val key =
        if (method in idempotentMethods) null else request.header(Headers.IDEMPOTENCY_KEY)
    if (method !in idempotentMethods && key == null) {
        return Failure(
            ResultCode.IDEMPOTENCY_KEY_MISSING,
            "method $method of service ${target.service} needs header ${Headers.IDEMPOTENCY_KEY}"
        )
    }
    if (key != null && !KEY.matches(key)) {
        return Failure(
            ResultCode.MALFORMED_REQUEST,
            "header ${Headers.IDEMPOTENCY_KEY} must have 1 to 255 printable ASCII characters"
        )
    }
    val body = request.bodyString()
    return Success(
        CallRequest(
            requestId,
            caller.workspace,
            caller.workClass.name,
            target.service,
            method,
            target.path,
            forwardedHeaders(request),
            body,
            key,
            sha256Hex("$method\n${target.path}\n$body"),
            caller.workClass.targetMs
        )
    )
}

/** True if header [name] may pass from one connection to another. */
internal fun isForwarded(name: String): Boolean {
    val lower = name.lowercase()
    return lower !in CONNECTION_HEADERS && !lower.startsWith("x-jacinthlink-")
}

private fun forwardedHeaders(request: Request): Map<String, String> =
    request.headers
        .mapNotNull { (name, value) -> value?.let { name to it } }
        .filter { isForwarded(it.first) }
        .groupBy({ it.first.lowercase() }, { it.second })
        .mapValues { it.value.joinToString(", ") }

private val SERVICE = Regex("[a-z][a-z0-9-]{0,62}")
private val KEY = Regex("[\\x21-\\x7e]{1,255}")
private const val SHOWN = 64

// Without accept-encoding, services answer in plain text, as the message's body requires.
private val CONNECTION_HEADERS =
    setOf(
        "accept-encoding",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade"
    )
